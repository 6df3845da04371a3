package io.persimmonstack.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent to runners although their prompts end them, at any node and at any time. */
class PartGuardTest {
    private static final int NODES = 7;
    private static final long PATIENT_NANOS = TimeUnit.DAYS.toNanos(1);
    private static final int WAIT_MS = 50;
    private static final List<String> FATAL = List.of("first", "fatal");
    private static final List<String> SOUND = List.of("first", "sound");

    private final List<PartGuard> guards = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private long nowMs = 1_000;
    private int processes;

    private final TimeSource time = FakeTime.ofMillis(() -> nowMs);

    PartGuardTest() {
        List<String> names = IntStream.range(0, NODES).mapToObj(i -> "n" + i).toList();
        names.forEach(name -> guards.add(PartGuard.create(name, name + "@1", () -> names, listener(name), time)));
    }

    private PartGuard.Listener listener(String node) {
        return new PartGuard.Listener() {
            @Override
            public void blocked(String part, int ends) {
                events.add(node + " blocked " + part + " after " + ends);
            }

            @Override
            public void freed(String part) {
                events.add(node + " freed " + part);
            }

            @Override
            public void tried(String part) {
                events.add(node + " tried " + part);
            }

            @Override
            public void reportDue() {}
        };
    }

    private static PartPermit admitted(PartGuard guard, List<String> parts) throws InterruptedException {
        return ((Admission.Admitted) guard.admit(parts, PATIENT_NANOS)).permit();
    }

    /** Ends a runner under a request that a node sent; all nodes hear of it. */
    private void endProcess(PartGuard guard, List<String> parts) throws InterruptedException {
        try (PartPermit permit = admitted(guard, parts)) {
            nowMs += WAIT_MS;
            permit.processEnded("p" + processes++);
        }
        share(guard);
        nowMs += 1;
    }

    private void share(PartGuard guard) {
        Optional<CrashReport> report = guard.takeDueReport();
        report.ifPresent(due -> guards.forEach(other -> other.merge(due)));
    }

    private void block() throws InterruptedException {
        for (int i = 0; i < PartAssessment.BLOCKING_ENDS; i++) {
            endProcess(guards.get(i), FATAL);
        }
    }

    /** Returns the nodes that would send a request with the part now. */
    private List<PartGuard> trying() {
        return guards.stream()
                .filter(guard -> guard.blockedPart(FATAL).isEmpty())
                .toList();
    }

    @Test
    void partIsBlockedAtAllNodes() throws Exception {
        block();
        for (PartGuard guard : guards) {
            assertEquals("fatal", guard.blockedPart(FATAL).orElseThrow().part());
            assertTrue(guard.admit(FATAL, PATIENT_NANOS) instanceof Admission.Blocked);
            assertEquals(Optional.empty(), guard.blockedPart(SOUND));
            assertEquals(1, guard.blockedCount());
            assertEquals(0, guard.suspectedCount());
        }
        assertEquals(NODES, events.size(), events.toString());
    }

    /** Failure: what was blocked could never be tried again, or every node tried it. */
    @Test
    void oneNodeTriesTheBlockedPartAfterAPauseThatGrows() throws Exception {
        block();
        nowMs += PartGuard.FIRST_TRIAL_AFTER_MS - 2;
        assertEquals(List.of(), trying());
        nowMs += 1;
        assertEquals(1, trying().size());
        PartGuard trying = trying().getFirst();
        endProcess(trying, FATAL);
        assertEquals(List.of(), trying());
        nowMs += 2 * PartGuard.FIRST_TRIAL_AFTER_MS - 2;
        assertEquals(List.of(), trying());
        nowMs += 1;
        assertEquals(List.of(trying), trying());
    }

    /** Failure: several requests were tried at a time. */
    @Test
    void onlyASingleRequestIsTried() throws Exception {
        block();
        nowMs += PartGuard.FIRST_TRIAL_AFTER_MS;
        PartGuard trying = trying().getFirst();
        try (PartPermit permit = admitted(trying, FATAL)) {
            assertFalse(permit.hasBegun());
            assertEquals(List.of(), trying());
        }
        assertEquals(List.of(), trying());
    }

    @Test
    void answerToATrialFreesWhatWasBlockedByMistake() throws Exception {
        block();
        nowMs += PartGuard.FIRST_TRIAL_AFTER_MS;
        PartGuard trying = trying().getFirst();
        try (PartPermit permit = admitted(trying, FATAL)) {
            permit.answerBegun();
        }
        share(trying);
        assertEquals(guards, trying());
    }

    /** Failure: suspected requests ran side by side, so that an end did not show which of them caused it. */
    @Test
    void suspectedRequestsAreSentOneAtATime() throws Exception {
        PartGuard guard = guards.getFirst();
        endProcess(guard, FATAL);
        try (PartPermit first = admitted(guard, FATAL)) {
            assertTrue(guard.admit(FATAL, 1) instanceof Admission.Busy);
            assertEquals(Optional.empty(), guard.admitUnsuspected(FATAL));
            admitted(guard, List.of("another")).close();
            first.answerBegun();
            admitted(guard, FATAL).close();
        }
    }

    /** Failure: the rest of a request went out on another connection after its part had been blocked. */
    @Test
    void unsuspectedRequestMayNotBeSentAgainOnceItsPartIsBlocked() throws Exception {
        try (PartPermit permit = admitted(guards.getLast(), FATAL)) {
            assertTrue(permit.maySendAgain());
            block();
            assertFalse(permit.maySendAgain());
        }
    }
}
