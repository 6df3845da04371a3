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
 * Runners and slots of one process of a node, kept in the key-value service by compare-and-swap on single keys.
 *
 * <pre>{@code
 * RunnerGrants grants = RunnerGrants.create(self, store, codecs);
 * if (grants.acquire("runner-7", TakeoverEvidence.fencedEngine()) instanceof AcquireResult.Acquired acquired) {
 *     order(acquired.runner().epoch());  // the first order fences the predecessor off; then inspect the engine
 *     grants.fenced("runner-7");
 *     grants.grant("runner-7", ModelVersion.of("summary", "v1"), caps.cap("summary"));
 * }
 * // later: unload, wait for the confirmation, then
 * grants.giveBack("runner-7", ModelVersion.of("summary", "v1"));
 * }</pre>
 *
 * <p>What holds: a slot in a runner record stands in its model record too, and a model record never gains an entry
 * beyond its cap. The owner may load and unload at will, without the service, among {@link OwnedRunner#slots()} while
 * {@link OwnedRunner#mayOrder()}.
 *
 * <p>Changes of one runner run one after the other; those of different runners and the snapshots do not wait for them.
 * Every change may throw a {@link KvException}; repeating the call, or {@link #reconcile}, finishes what it left.
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
     * Creates the grants of a process that owns nothing yet.
     *
     * @param self this process; its incarnation is higher than that of any earlier process of the node
     * @param store key-value service
     * @param codecs codecs of the records
     * @return the grants
     */
    public static RunnerGrants create(NodeIdentity self, KvStore store, GrantCodecs codecs) {
        return new RunnerGrants(self, store, codecs);
    }

    /** Returns the runners that this process owns, by name. */
    public SortedMap<String, OwnedRunner> owned() {
        SortedMap<String, OwnedRunner> result = new TreeMap<>();
        registry.snapshot().forEach((runner, held) -> result.put(runner, held.toOwnedRunner()));
        return Collections.unmodifiableSortedMap(result);
    }

    /** Returns a runner if this process owns it. */
    public Optional<OwnedRunner> owned(String runner) {
        return registry.find(runner).map(OwnedRunnerState::toOwnedRunner);
    }

    /**
     * Takes a free runner, takes one over, or finishes an earlier attempt: raises the epoch, then adopts the entries of
     * the runner's slots.
     *
     * @param runner name of the runner
     * @param evidence why the owner on record is harmless
     * @return the outcome
     * @throws KvException if the service gave no answer; the runner may be owned already, in phase ADOPTING
     */
    public AcquireResult acquire(String runner, TakeoverEvidence evidence) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            return held.isPresent() ? ownership.adoptSlots(held.get()) : ownership.takeOwnership(runner, evidence);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Notes that the engine has accepted an order with the runner's epoch and was inspected, so that no earlier order
     * can change it any more.
     *
     * @param runner name of the runner
     * @return the runner, or empty where this process does not own it
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
     * Raises the epoch of an owned runner whose engine refuses old fencing numbers. Once the engine has accepted an
     * order with the new epoch, an order of this process that got no answer can no longer take effect.
     *
     * @param runner name of the runner
     * @return the outcome; the runner is in phase FENCING where it is still owned
     * @throws KvException if the service gave no answer; the runner is not owned until it is acquired again
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
     * Gets a slot: entered in the model record first, then in the runner record.
     *
     * @param runner runner that this process owns
     * @param slot model version to be loaded on it
     * @param cap cap of the model in the accepted configuration
     * @return the outcome
     * @throws KvException if the service gave no answer; the slot may be spent until {@link #reconcile}
     */
    public GrantResult grant(String runner, ModelVersion slot, ReplicaCap cap) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            if (!isReady(held)) {
                return new GrantResult.NotOwner(notOwnerReason(runner, held));
            }
            if (held.get().isUsable(slot)) {
                return new GrantResult.Granted(held.get().toOwnedRunner());
            }
            return switch (modelRecords.addEntry(runner, slot, held.get().epoch(), cap)) {
                case ModelRecordUpdater.UpdateResult.CapReached full -> new GrantResult.CapReached(full.record());
                case ModelRecordUpdater.UpdateResult.StaleConfiguration stale ->
                    new GrantResult.StaleConfiguration(stale.record());
                case ModelRecordUpdater.UpdateResult.Superseded superseded -> dropSuperseded(held.get());
                case ModelRecordUpdater.UpdateResult.Applied applied -> addSlotToRunner(held.get(), slot);
            };
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives a slot back: removed from the runner record first, then from the model record.
     *
     * <p>Before the call the engine has confirmed that the model is unloaded, no order for it is in flight, and none is
     * sent until a grant.
     *
     * @param runner runner that this process owns
     * @param slot model version that is not loaded on it
     * @return the outcome
     * @throws KvException if the service gave no answer; call again
     */
    public GiveBackResult giveBack(String runner, ModelVersion slot) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            if (isReady(held) && held.get().hasSlot(slot)) {
                RunnerRecord next = held.get().runnerRecord().withoutSlot(slot);
                held = ownership.writeRecord(held.get(), held.get().withExcluded(slot), next);
            }
            if (!isReady(held)) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, held));
            }
            modelRecords.removeEntry(runner, slot, held.get().epoch());
            return new GiveBackResult.GivenBack(held.get().toOwnedRunner());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Gives back every slot of a runner whose engine is gone, also those that stand in a model record only.
     *
     * <p>Before the call the engine and all earlier owners of the runner are known to have ended.
     *
     * @param runner runner that this process owns
     * @param known model records, read before or after the runner was acquired
     * @return the outcome
     * @throws KvException if the service gave no answer; call again
     */
    public GiveBackResult giveBackAll(String runner, List<ModelRecord> records) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            if (held.isEmpty() || held.get().phase() == Phase.ADOPTING) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, held));
            }
            Set<ModelVersion> slots = slotsOf(held.get().runnerRecord(), records);
            if (!held.get().runnerRecord().slots().isEmpty()) {
                RunnerRecord next = held.get().runnerRecord().withoutSlots();
                held = ownership.writeRecord(held.get(), held.get().withAllExcluded(), next);
            }
            if (held.isEmpty()) {
                return new GiveBackResult.NotOwner(notOwnerReason(runner, held));
            }
            for (ModelVersion slot : slots) {
                modelRecords.removeOrphanedEntry(runner, slot, held.get().epoch());
            }
            return new GiveBackResult.GivenBack(held.get().toOwnedRunner());
        } finally {
            lock.unlock();
        }
    }

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
     * Hands a runner over to whoever takes it next. Before the call no order of this process is in flight, and none is
     * sent afterwards.
     *
     * @param runner runner that this process owns
     * @return the outcome
     * @throws KvException if the service gave no answer; call again to hand over, or {@link #acquire} to go on
     */
    public HandOverResult handOver(String runner) throws KvException {
        ReentrantLock lock = registry.lock(runner);
        lock.lock();
        try {
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            if (!isReady(held)) {
                return new HandOverResult.NotOwner(notOwnerReason(runner, held));
            }
            OwnedRunnerState handingOver = held.get().withPhase(Phase.HANDING_OVER);
            RunnerRecord next = handingOver.runnerRecord().withHandingOver(true);
            Optional<OwnedRunnerState> handedOver = ownership.writeRecord(held.get(), handingOver, next);
            registry.remove(runner);
            return handedOver.isPresent()
                    ? new HandOverResult.HandedOver(runner, handingOver.epoch())
                    : new HandOverResult.NotOwner(notOwnerReason(runner, handedOver));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Compares the slots of the owned runners with the model records and settles what a crash, a lost reply or a
     * lowered cap left. Reads all model records once. Leaves a runner in phase ADOPTING to {@link #acquire}.
     *
     * @param caps caps of the accepted configuration
     * @return what was found, by runner
     * @throws KvException if the service gave no answer; call again
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
     * Takes note of a runner record seen elsewhere, such as in a watch or from a peer.
     *
     * @param current the record
     * @return whether this process thereby lost the runner
     */
    public boolean observe(RunnerRecord current) {
        ReentrantLock lock = registry.lock(current.runner());
        lock.lock();
        try {
            boolean lost = registry.find(current.runner())
                    .filter(held -> current.epoch() > held.epoch())
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
            Optional<OwnedRunnerState> held = ownership.resolvePendingWrite(runner);
            if (held.isEmpty()) {
                return ReconcileReport.notOwner();
            }
            return held.get().phase() == Phase.ADOPTING
                    ? ReconcileReport.adopting()
                    : new Reconciler(modelRecords, caps, held.get()).reconcile(allRecords);
        } finally {
            lock.unlock();
        }
    }

    /** Adds a slot that stands in its model record to the runner record. */
    private GrantResult addSlotToRunner(OwnedRunnerState held, ModelVersion slot) throws KvException {
        Optional<OwnedRunnerState> used = held.hasSlot(slot)
                ? Optional.of(registry.put(held.withIncluded(slot)))
                : ownership.writeRecord(
                        held, held.withIncluded(slot), held.runnerRecord().withSlot(slot));
        return used.isPresent()
                ? new GrantResult.Granted(used.get().toOwnedRunner())
                : new GrantResult.NotOwner(notOwnerReason(held.runner(), used));
    }

    private GrantResult dropSuperseded(OwnedRunnerState held) {
        registry.remove(held.runner());
        return new GrantResult.NotOwner(notOwnerReason(held.runner(), Optional.empty()));
    }

    private static boolean isReady(Optional<OwnedRunnerState> held) {
        return held.filter(found -> found.phase() == Phase.READY).isPresent();
    }

    private String notOwnerReason(String runner, Optional<OwnedRunnerState> held) {
        return held.map(found -> runner + ": phase " + found.phase() + ", expected READY")
                .orElse(runner + ": not owned by " + self);
    }
}
