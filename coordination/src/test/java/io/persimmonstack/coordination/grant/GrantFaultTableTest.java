package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.FaultyKvStore.Fault;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Interrupts each operation of a node by a store fault at each of its writes, with each kind of fault and of recovery,
 * and checks that caps and slots stay consistent.
 */
class GrantFaultTableTest {
    private static final String RUNNER = "runner-1";
    private static final ModelVersion GRANTED = ModelVersion.of("summary", "v1");
    private static final ModelVersion UNGRANTED = ModelVersion.of("dispute", "v1");
    private static final ReplicaCap CAP_OF_ONE = ReplicaCap.of(1, 1);
    private static final int MAX_WRITES = 3;

    private final GrantRecords records = new GrantRecords(1);
    private final FaultyKvStore firstStore = new FaultyKvStore(records.store);
    private final FaultyKvStore secondStore = new FaultyKvStore(records.store);
    private final RunnerGrants first = RunnerGrants.create(NodeIdentity.of("first", 1), firstStore, records.codecs);
    private final RunnerGrants second = RunnerGrants.create(NodeIdentity.of("second", 1), secondStore, records.codecs);

    /** Operation of the first node that is interrupted. */
    enum Operation {
        ACQUIRE,
        TAKE_OVER,
        GRANT,
        GIVE_BACK,
        HAND_OVER,
        LOWER_CAP
    }

    /** What happens after the fault of the first node's store. */
    enum Recovery {
        /** The node reconnects and retries the operation. */
        RETRIED,
        /** The node reconnects and reverses the operation. */
        REVERSED,
        /** The node dies, and another node takes its runner over. */
        KILLED,
        /** The node is paused while another node takes its runner over, then resumes and retries the operation. */
        RESUMED
    }

    static Stream<Arguments> cases() {
        return Stream.of(Operation.values())
                .flatMap(operation -> Stream.of(Fault.values())
                        .flatMap(fault -> Stream.of(Recovery.values())
                                .flatMap(recovery -> IntStream.range(0, MAX_WRITES)
                                        .mapToObj(write -> Arguments.of(operation, write, fault, recovery)))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void capAndSlotInvariantsHold(Operation operation, int write, Fault fault, Recovery recovery) throws KvException {
        prepare(operation);
        firstStore.failAfter(write, fault);
        perform(operation);
        records.checkInvariants();
        switch (recovery) {
            case RETRIED -> retry(operation);
            case REVERSED -> reverse();
            case KILLED -> takeOver();
            default -> {
                takeOver();
                retry(operation);
            }
        }
        recoverAndCheck();
    }

    private void prepare(Operation operation) throws KvException {
        if (operation == Operation.ACQUIRE) {
            return;
        }
        RunnerGrants owner = operation == Operation.TAKE_OVER ? second : first;
        owner.acquire(RUNNER, TakeoverEvidence.handedOver());
        owner.grant(RUNNER, GRANTED, CAP_OF_ONE);
    }

    private void perform(Operation operation) {
        try {
            switch (operation) {
                case ACQUIRE, TAKE_OVER -> acquireAndFence(first);
                case GRANT -> first.grant(RUNNER, UNGRANTED, CAP_OF_ONE);
                case GIVE_BACK -> first.giveBack(RUNNER, GRANTED);
                case HAND_OVER -> first.handOver(RUNNER);
                default -> lowerCap(first);
            }
        } catch (KvException e) {
            // Expected: the fault under test.
        }
    }

    private void retry(Operation operation) throws KvException {
        firstStore.heal();
        perform(operation);
        records.checkInvariants();
        firstStore.deliverLate();
        records.checkInvariants();
    }

    /** Grants the slot that may have been given back, and gives back the slot that may have been granted. */
    private void reverse() throws KvException {
        firstStore.heal();
        acquireAndFence(first);
        first.grant(RUNNER, GRANTED, CAP_OF_ONE);
        first.giveBack(RUNNER, UNGRANTED);
        records.checkInvariants();
        firstStore.deliverLate();
        records.checkInvariants();
    }

    private void takeOver() throws KvException {
        acquireAndFence(second);
        records.checkInvariants();
        firstStore.deliverLate();
        records.checkInvariants();
        second.grant(RUNNER, GRANTED, CAP_OF_ONE);
        second.grant(RUNNER, UNGRANTED, CAP_OF_ONE);
        records.checkInvariants();
    }

    /**
     * Takes the runner over and checks that reconciling it after the faults leaves no orphaned entry that would count
     * against a cap.
     */
    private void recoverAndCheck() throws KvException {
        firstStore.heal();
        firstStore.deliverLate();
        records.checkInvariants();
        acquireAndFence(second);
        second.reconcile(model -> CAP_OF_ONE);
        records.checkInvariants();
        records.checkNoOrphanedEntries();
    }

    private static void acquireAndFence(RunnerGrants grants) throws KvException {
        grants.acquire(RUNNER, TakeoverEvidence.fencedEngine());
        grants.confirmFenced(RUNNER);
    }

    private static void lowerCap(RunnerGrants grants) throws KvException {
        for (ModelVersion slot :
                grants.reconcile(model -> ReplicaCap.of(0, 2)).get(RUNNER).surplus()) {
            grants.giveBack(RUNNER, slot);
        }
    }
}
