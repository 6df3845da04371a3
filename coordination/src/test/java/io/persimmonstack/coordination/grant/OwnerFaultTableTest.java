package io.persimmonstack.coordination.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Interrupts each operation of an owner at each point, that is before each of its calls to the store and around each of
 * its orders, for both kinds of engine. While the owner is interrupted, another process does all that it may: it takes
 * the runner over, frees its memory, and uses the slot on a runner of its own. Caps and memory limits must hold at
 * every point.
 */
class OwnerFaultTableTest {
    private static final String RUNNER = "runner-1";
    private static final String OTHER_RUNNER = "runner-2";
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final ModelVersion OTHER_MODEL = ModelVersion.of("dispute", "v1");
    private static final ReplicaCap CAP_OF_ONE = ReplicaCap.of(1, 1);

    private final GrantRecords records = new GrantRecords(1);
    private final FaultyKvStore ownerStore = new FaultyKvStore(records.store);
    private final Process predecessor = new Process("predecessor", 1, new FaultyKvStore(records.store));
    private final Process owner = new Process("owner", 1, ownerStore);
    private final FakeEngine otherEngine = new FakeEngine(true);
    private FakeEngine engine;
    private Event event;
    private Process successor;
    private int pointsLeft;
    private boolean ownerRunning;

    /** Operation of the owner that is interrupted. */
    enum Operation {
        LOAD,
        UNLOAD,
        HAND_OVER,
        TAKE_OVER
    }

    /** Event that interrupts the owner. */
    enum Event {
        /** It is paused until others consider it dead and its successor has acted, then resumes. */
        PAUSED,
        /** Its process ends, and another node succeeds it. */
        KILLED,
        /** Its process ends, and the next process of its node succeeds it. */
        RESTARTED
    }

    /** Thrown at the interruption point where the owner's process ends. */
    private static final class ProcessEnded extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final class Process {
        private final NodeIdentity identity;
        private final RunnerGrants grants;

        Process(String node, long incarnation, FaultyKvStore store) {
            identity = NodeIdentity.of(node, incarnation);
            grants = RunnerGrants.create(identity, store, records.codecs);
        }

        boolean mayOrder(String runner) {
            return grants.owned(runner).filter(OwnedRunner::mayOrder).isPresent();
        }

        void acquire(String runner, FakeEngine target, TakeoverEvidence evidence) throws KvException {
            if (grants.acquire(runner, evidence) instanceof AcquireResult.Acquired acquired
                    && acquired.runner().phase() == OwnedRunner.Phase.FENCING) {
                interruptionPoint();
                if (target.acceptEpoch(acquired.runner().epoch())) {
                    grants.confirmFenced(runner);
                }
            }
        }

        /** Checks the ownership before it sends the order, so that a pause may fall between the two. */
        void order(String runner, FakeEngine target, boolean load, ModelVersion model) throws KvException {
            Optional<OwnedRunner> owned = grants.owned(runner).filter(OwnedRunner::mayOrder);
            boolean fits = !load || target.loaded.isEmpty();
            if (owned.isEmpty() || !fits || load && !owned.get().slots().contains(model)) {
                return;
            }
            interruptionPoint();
            target.send(identity, owned.get().epoch(), load, model);
            interruptionPoint();
            if (target.hasOrdersInFlightFrom(identity)) {
                target.deliver(0, false);
            }
            interruptionPoint();
        }

        void load(String runner, FakeEngine target, ModelVersion model) throws KvException {
            if (grants.grant(runner, model, CAP_OF_ONE) instanceof GrantResult.Granted) {
                order(runner, target, true, model);
            }
        }

        void unload(String runner, FakeEngine target, ModelVersion model) throws KvException {
            order(runner, target, false, model);
            if (mayOrder(runner) && !target.loaded.contains(model)) {
                grants.giveBack(runner, model);
            }
        }
    }

    /** The last column is the runner's owner at the end, one letter per point: O the first owner, S its successor. */
    @ParameterizedTest(name = "{0}, fencing engine: {1}, {2}")
    @CsvSource({
        "LOAD, true, PAUSED, SSSSSS",
        "LOAD, true, KILLED, SSSSSS",
        "LOAD, true, RESTARTED, SSSSSS",
        "LOAD, false, PAUSED, OOOOOO",
        "LOAD, false, KILLED, SSSSSS",
        "LOAD, false, RESTARTED, SSSSSS",
        "UNLOAD, true, PAUSED, SSSSSS",
        "UNLOAD, true, KILLED, SSSSSS",
        "UNLOAD, true, RESTARTED, SSSSSS",
        "UNLOAD, false, PAUSED, OOOOOO",
        "UNLOAD, false, KILLED, SSSSSS",
        "UNLOAD, false, RESTARTED, SSSSSS",
        "HAND_OVER, true, PAUSED, S",
        "HAND_OVER, true, KILLED, S",
        "HAND_OVER, true, RESTARTED, S",
        "HAND_OVER, false, PAUSED, O",
        "HAND_OVER, false, KILLED, S",
        "HAND_OVER, false, RESTARTED, S",
        "TAKE_OVER, true, PAUSED, SSSSSSSSSSSSSSSSS",
        "TAKE_OVER, true, KILLED, SSSSSSSSSSSSSSSSS",
        "TAKE_OVER, true, RESTARTED, SSSSSSSSSSSSSSSSS",
        "TAKE_OVER, false, PAUSED, SSOOOOOOOOOOOOOO",
        "TAKE_OVER, false, KILLED, SSSSSSSSSSSSSSSS",
        "TAKE_OVER, false, RESTARTED, SSSSSSSSSSSSSSSS",
    })
    void capAndMemoryLimitsHold(Operation operation, boolean fencing, Event eventKind, String ownersByPoint)
            throws KvException {
        StringBuilder owners = new StringBuilder();
        Optional<Character> last = Optional.of(' ');
        for (int point = 0; last.isPresent(); point++) {
            last = new OwnerFaultTableTest().ownerAfter(operation, fencing, eventKind, point);
            last.ifPresent(owners::append);
        }
        assertEquals(ownersByPoint, owners.toString());
    }

    /** Returns the owner at the end, or empty if the operation has fewer interruption points. */
    private Optional<Character> ownerAfter(Operation operation, boolean fencing, Event eventKind, int point)
            throws KvException {
        engine = new FakeEngine(fencing);
        event = eventKind;
        successor = eventKind == Event.RESTARTED
                ? new Process("owner", 2, new FaultyKvStore(records.store))
                : new Process("successor", 1, new FaultyKvStore(records.store));
        successor.acquire(OTHER_RUNNER, otherEngine, TakeoverEvidence.handedOver());
        pointsLeft = Integer.MAX_VALUE;
        prepare(operation);
        pointsLeft = point;
        records.store.intercept((call, key) -> interruptionPoint());
        run(operation);
        records.store.intercept((call, key) -> {});
        if (pointsLeft >= 0) {
            return Optional.empty();
        }
        recoverAndCheck();
        return Optional.of(successor.mayOrder(RUNNER) ? 'S' : 'O');
    }

    private void prepare(Operation operation) throws KvException {
        Process initialOwner = operation == Operation.TAKE_OVER ? predecessor : owner;
        initialOwner.acquire(RUNNER, engine, TakeoverEvidence.handedOver());
        if (operation != Operation.LOAD) {
            initialOwner.load(RUNNER, engine, MODEL);
        }
    }

    private void run(Operation operation) throws KvException {
        ownerRunning = true;
        try {
            switch (operation) {
                case LOAD -> owner.load(RUNNER, engine, MODEL);
                case UNLOAD -> owner.unload(RUNNER, engine, MODEL);
                case HAND_OVER -> owner.grants.handOver(RUNNER);
                default -> {
                    owner.acquire(RUNNER, engine, evidenceAgainst(predecessor));
                    owner.unload(RUNNER, engine, MODEL);
                    owner.load(RUNNER, engine, OTHER_MODEL);
                }
            }
        } catch (ProcessEnded e) {
            // Expected: the event under test.
        }
        ownerRunning = false;
        checkInvariants();
    }

    /** Passes an interruption point of the owner; the event happens at the chosen one. */
    private void interruptionPoint() throws KvException {
        if (!ownerRunning) {
            return;
        }
        ownerRunning = false;
        checkInvariants();
        if (pointsLeft-- != 0) {
            ownerRunning = true;
            return;
        }
        if (event != Event.PAUSED) {
            engine.deliverAll();
        }
        runSuccessor();
        checkInvariants();
        if (event != Event.PAUSED) {
            throw new ProcessEnded();
        }
        ownerRunning = true;
    }

    /** Does all that the successor may do at this point. */
    private void runSuccessor() throws KvException {
        successor.acquire(
                RUNNER, engine, event == Event.PAUSED ? evidenceAgainstPausedOwner() : evidenceAgainst(owner));
        if (!successor.mayOrder(RUNNER)) {
            successor.acquire(RUNNER, engine, evidenceAgainst(predecessor));
        }
        checkInvariants();
        if (successor.mayOrder(RUNNER)) {
            successor.grants.reconcile(model -> CAP_OF_ONE);
            successor.unload(RUNNER, engine, MODEL);
            checkInvariants();
            successor.load(RUNNER, engine, OTHER_MODEL);
        }
        successor.load(OTHER_RUNNER, otherEngine, MODEL);
    }

    private TakeoverEvidence evidenceAgainstPausedOwner() {
        return engine.fencing() ? TakeoverEvidence.fencedEngine() : TakeoverEvidence.handedOver();
    }

    private TakeoverEvidence evidenceAgainst(Process ended) {
        return engine.fencing() ? TakeoverEvidence.fencedEngine() : TakeoverEvidence.predecessorGone(ended.identity);
    }

    /** Checks that the owner after the event can repair what the event left. */
    private void recoverAndCheck() throws KvException {
        engine.deliverAll();
        checkInvariants();
        Process last = successor.mayOrder(RUNNER) ? successor : owner;
        last.acquire(RUNNER, engine, TakeoverEvidence.handedOver());
        for (Process process : new LinkedHashSet<>(List.of(last, successor))) {
            process.grants.reconcile(model -> CAP_OF_ONE);
        }
        checkInvariants();
        records.checkNoOrphanedEntries();
    }

    private void checkInvariants() throws KvException {
        records.checkInvariants();
        assertTrue(engine.loaded.size() <= 1, () -> "memory overcommitted: " + engine.loaded);
        boolean loadedOnBoth = engine.loaded.contains(MODEL) && otherEngine.loaded.contains(MODEL);
        assertTrue(!loadedOnBoth, "two replicas under a cap of one");
    }
}
