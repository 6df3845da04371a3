package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.grant.OwnedRunner.Phase;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Acquires runners and slots for one process of a node. The records are kept in the key-value service and are changed
 * by compare-and-swap on single keys.
 *
 * <pre>{@code
 * RunnerGrants grants = RunnerGrants.create(self, store, codecs);
 * if (grants.acquire("runner-7", TakeoverEvidence.fencedEngine()) instanceof AcquireResult.Acquired acquired) {
 *     order(acquired.runner().epoch());  // the first order with the new epoch fences the predecessor; then inspect
 *     grants.confirmFenced("runner-7");
 *     grants.grant("runner-7", ModelVersion.of("summary", "v1"), caps.cap("summary"));
 * }
 * // later, after the engine has confirmed the unload:
 * grants.giveBack("runner-7", ModelVersion.of("summary", "v1"));
 * }</pre>
 *
 * <p>Invariants: every slot in a runner record has an entry in its model record, and no entry is added to a model
 * record beyond its cap. While {@link OwnedRunner#mayOrder()} is true, the owner may load and unload the models in
 * {@link OwnedRunner#slots()} without calling the key-value service.
 *
 * <p>Thread-safe. Changes to the same runner are serialized by a lock; changes to different runners run concurrently,
 * and {@link #owned()} never blocks. Any change may throw a {@link KvException}; repeating the call, or {@link
 * #reconcile}, completes a partial change.
 */
public final class RunnerGrants {
    private final NodeIdentity self;
    private final ModelRecordUpdater modelRecords;
    private final OwnedRunnerRegistry registry = new OwnedRunnerRegistry();
    private final RunnerOwnership ownership;

    private RunnerGrants(NodeIdentity self, KvStore store, GrantCodecs codecs) {
        this.self = self;
        this.modelRecords = new ModelRecordUpdater(new RecordStore<>(store, codecs.models()));
        this.ownership = new RunnerOwnership(self, new RecordStore<>(store, codecs.runners()), modelRecords, registry);
    }

    /**
     * Creates the grants of a process that does not own any runner yet.
     *
     * @param self this process; its incarnation must be higher than that of any earlier process of the node
     * @param store key-value service
     * @param codecs codecs of the records
     * @return the grants
     */
    public static RunnerGrants create(NodeIdentity self, KvStore store, GrantCodecs codecs) {
        return new RunnerGrants(self, store, codecs);
    }

    /** Returns a snapshot of the runners that this process owns, sorted by name. */
    public SortedMap<String, OwnedRunner> owned() {
        SortedMap<String, OwnedRunner> result = new TreeMap<>();
        registry.snapshot().forEach((runner, state) -> result.put(runner, state.toOwnedRunner()));
        return Collections.unmodifiableSortedMap(result);
    }

    /** Returns the given runner, or empty if this process does not own it. */
    public Optional<OwnedRunner> owned(String runner) {
        return registry.find(runner).map(OwnedRunnerState::toOwnedRunner);
    }

    /**
     * Acquires a free runner, takes over a runner from its previous owner, or completes an earlier attempt: raises the
     * epoch, then rewrites the entries of the runner's slots with the new epoch.
     *
     * @param runner name of the runner
     * @param evidence why the recorded owner can no longer change the engine
     * @return the outcome
     * @throws KvException if the service did not answer; the runner may already be owned, in phase ADOPTING
     */
    public AcquireResult acquire(String runner, TakeoverEvidence evidence) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            return state.isPresent() ? ownership.adoptSlots(state.get()) : ownership.takeOwnership(runner, evidence);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records that the engine has accepted an order with the runner's epoch and has been inspected since. From then on
     * no order of an earlier epoch can change the engine.
     *
     * @param runner name of the runner
     * @return the runner, or empty if this process does not own it
     */
    public Optional<OwnedRunner> confirmFenced(String runner) {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            return registry.find(runner).map(ownership::confirmFenced).map(OwnedRunnerState::toOwnedRunner);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Raises the epoch of an owned runner whose engine refuses old fencing tokens. Once the engine has accepted an
     * order with the new epoch, earlier unanswered orders of this process can no longer take effect.
     *
     * @param runner name of the runner
     * @return the outcome; the runner is in phase FENCING if this process still owns it
     * @throws KvException if the service did not answer; the runner counts as not owned until it is acquired again
     */
    public AcquireResult refence(String runner) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            registry.remove(runner);
            return ownership.takeOwnership(runner, TakeoverEvidence.fencedEngine());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Grants a slot to a runner: adds it to the model record first, then to the runner record.
     *
     * @param runner runner that this process owns
     * @param slot model version to be loaded on it
     * @param cap cap of the model in the active configuration
     * @return the outcome
     * @throws KvException if the service did not answer; the slot may count against the cap, unused, until
     *     {@link #reconcile}
     */
    public GrantResult grant(String runner, ModelVersion slot, ReplicaCap cap) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            if (!isReady(state)) {
                return new GrantResult.NotOwner(notOwnerReason(runner, state));
            }
            if (state.get().isUsable(slot)) {
                return new GrantResult.Granted(state.get().toOwnedRunner());
            }
            return switch (modelRecords.addEntry(runner, slot, state.get().epoch(), cap)) {
                case ModelRecordUpdater.UpdateResult.CapReached full -> new GrantResult.CapReached(full.record());
                case ModelRecordUpdater.UpdateResult.StaleConfiguration stale ->
                    new GrantResult.StaleConfiguration(stale.record());
                case ModelRecordUpdater.UpdateResult.Superseded superseded -> dropSuperseded(state.get());
                case ModelRecordUpdater.UpdateResult.Applied applied -> addSlotToRunner(state.get(), slot);
            };
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives a slot back: removes it from the runner record first, then from the model record.
     *
     * <p>The caller must ensure that the engine has confirmed the unload of the model, that no order for it is in
     * flight, and that none is sent until the slot is granted again.
     *
     * @param runner runner that this process owns
     * @param slot model version that is not loaded on it
     * @return the outcome
     * @throws KvException if the service did not answer; call again
     */
    public GiveBackResult giveBack(String runner, ModelVersion slot) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            if (isReady(state) && state.get().hasSlot(slot)) {
                RunnerRecord next = state.get().runnerRecord().withoutSlot(slot);
                state = ownership.writeRecord(state.get(), state.get().withExcluded(slot), next);
            }
            if (!isReady(state)) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, state));
            }
            modelRecords.removeEntry(runner, slot, state.get().epoch());
            return new GiveBackResult.GivenBack(state.get().toOwnedRunner());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives back every slot of a runner whose engine is gone, including slots that are in a model record only.
     *
     * <p>The caller must ensure that the engine and all earlier owners of the runner have ended.
     *
     * @param runner runner that this process owns
     * @param records all model records, read before or after the runner was acquired
     * @return the outcome
     * @throws KvException if the service did not answer; call again
     */
    public GiveBackResult giveBackAll(String runner, List<ModelRecord> records) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            if (state.isEmpty() || state.get().phase() == Phase.ADOPTING) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, state));
            }
            Set<ModelVersion> slots = slotsOf(state.get().runnerRecord(), records);
            if (!state.get().runnerRecord().slots().isEmpty()) {
                RunnerRecord next = state.get().runnerRecord().withoutSlots();
                state = ownership.writeRecord(state.get(), state.get().withAllExcluded(), next);
            }
            if (state.isEmpty()) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, state));
            }
            for (ModelVersion slot : slots) {
                modelRecords.removeOrphanedEntry(runner, slot, state.get().epoch());
            }
            return new GiveBackResult.GivenBack(state.get().toOwnedRunner());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the slots of a runner in its own record and in the model records. */
    private static Set<ModelVersion> slotsOf(RunnerRecord record, List<ModelRecord> records) {
        Set<ModelVersion> result = record.sortedSlots();
        for (ModelRecord modelRecord : records) {
            modelRecord.entries().stream()
                    .filter(entry -> entry.runner().equals(record.runner()))
                    .forEach(entry -> result.add(ModelVersion.of(modelRecord.model(), entry.version())));
        }
        return result;
    }

    /**
     * Hands a runner over, so that any node may acquire it. The caller must ensure that no order of this process is in
     * flight and that none is sent afterwards.
     *
     * @param runner runner that this process owns
     * @return the outcome
     * @throws KvException if the service did not answer; call again to hand over, or {@link #acquire} to keep it
     */
    public HandOverResult handOver(String runner) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            if (!isReady(state)) {
                return new HandOverResult.NotOwner(notOwnerReason(runner, state));
            }
            OwnedRunnerState handingOver = state.get().withPhase(Phase.HANDING_OVER);
            RunnerRecord next = handingOver.runnerRecord().withHandingOver(true);
            Optional<OwnedRunnerState> handedOver = ownership.writeRecord(state.get(), handingOver, next);
            registry.remove(runner);
            return handedOver.isPresent()
                    ? new HandOverResult.HandedOver(runner, handingOver.epoch())
                    : new HandOverResult.NotOwner(notOwnerReason(runner, handedOver));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Compares the slots of the owned runners with the model records and repairs the differences that a crash, a lost
     * reply or a lowered cap left. Reads all model records in one call. Skips runners in phase ADOPTING, which
     * {@link #acquire} completes.
     *
     * @param caps caps of the active configuration
     * @return one report per owned runner, by name of the runner
     * @throws KvException if the service did not answer; call again
     */
    public SortedMap<String, ReconcileReport> reconcile(ReplicaCaps caps) throws KvException {
        List<ModelRecord> allRecords = modelRecords.readAll();
        SortedMap<String, ReconcileReport> result = new TreeMap<>();
        for (String runner : registry.snapshot().keySet()) {
            result.put(runner, reconcile(runner, allRecords, caps));
        }
        return result;
    }

    /**
     * Processes a runner record that was received from a watch or a peer. Drops the runner if the record has a higher
     * epoch than this process.
     *
     * @param current the received record
     * @return whether this process owned the runner and has now lost it
     */
    public boolean observe(RunnerRecord current) {
        ReentrantLock lock = registry.lock(current.runner());
        lock.lock();
        try {
            boolean lost = registry.find(current.runner())
                    .filter(state -> current.epoch() > state.epoch())
                    .isPresent();
            if (lost) {
                registry.remove(current.runner());
            }
            return lost;
        } finally {
            lock.unlock();
        }
    }

    private ReconcileReport reconcile(String runner, List<ModelRecord> allRecords, ReplicaCaps caps)
            throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> state = ownership.resolvePendingWrite(runner);
            if (state.isEmpty()) {
                return ReconcileReport.notOwner();
            }
            return state.get().phase() == Phase.ADOPTING
                    ? ReconcileReport.adopting()
                    : new Reconciler(modelRecords, caps, state.get()).reconcile(allRecords);
        } finally {
            lock.unlock();
        }
    }

    /** Adds a slot that already has an entry in its model record to the runner record. */
    private GrantResult addSlotToRunner(OwnedRunnerState state, ModelVersion slot) throws KvException {
        Optional<OwnedRunnerState> used = state.hasSlot(slot)
                ? Optional.of(registry.put(state.withIncluded(slot)))
                : ownership.writeRecord(
                        state, state.withIncluded(slot), state.runnerRecord().withSlot(slot));
        return used.isPresent()
                ? new GrantResult.Granted(used.get().toOwnedRunner())
                : new GrantResult.NotOwner(notOwnerReason(state.runner(), used));
    }

    /** Drops a runner that has a newer owner. */
    private GrantResult dropSuperseded(OwnedRunnerState state) {
        registry.remove(state.runner());
        return new GrantResult.NotOwner(notOwnerReason(state.runner(), Optional.empty()));
    }

    private static boolean isReady(Optional<OwnedRunnerState> state) {
        return state.filter(found -> found.phase() == Phase.READY).isPresent();
    }

    private String notOwnerReason(String runner, Optional<OwnedRunnerState> state) {
        return state.map(found -> runner + ": phase " + found.phase() + ", expected READY")
                .orElse(runner + ": not owned by " + self);
    }
}
