package io.persimmonstack.node.prompts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent to runners although their prompts end them, at any node and at any time. */
class PromptGuardTest {
    private static final int NODES = 7;
    private static final ActiveRequest FATAL = Requests.withPrompt("first", "fatal");
    private static final ActiveRequest SOUND = Requests.withPrompt("first", "sound");

    private final AtomicLong nanos = new AtomicLong();
    private final FleetView fleet = FleetView.create();
    private final List<PromptGuard> guards = new ArrayList<>();
    private int runners;

    PromptGuardTest() {
        Map<String, Peer> peers = new HashMap<>();
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        for (int i = 0; i < NODES; i++) {
            String name = "n" + i;
            peers.put(name, new Peer(name, 1, "z", address, address));
            guards.add(PromptGuard.create(name, 1, fleet, nanos::get));
        }
        fleet.update(now -> now.withPeers(peers, Optional.empty()));
    }

    private void advanceMs(long ms) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private static long latest() {
        return TimeUnit.DAYS.toNanos(1);
    }

    /** Ends a runner under a request that a node sent; all nodes hear of it. */
    private void endRunner(PromptGuard guard, ActiveRequest request) throws Exception {
        try (PromptPermit permit = guard.admit(request, latest())) {
            Thread.sleep(2);
            permit.runnerEnded(new RunnerProcess("r" + runners++, 1));
        }
        Thread.sleep(2);
        share(guard);
    }

    private void share(PromptGuard guard) {
        Optional<CrashReport> report = guard.takeDueReport();
        report.ifPresent(due -> guards.forEach(other -> other.merge(due)));
    }

    private void block() throws Exception {
        for (int i = 0; i < 3; i++) {
            endRunner(guards.get(i), FATAL);
        }
    }

    /** Returns the nodes that would send a request with the part now. */
    private List<PromptGuard> trying() {
        return guards.stream()
                .filter(guard -> guard.refusal(FATAL.callerRequest()).isEmpty())
                .toList();
    }

    @Test
    void partIsRefusedAtAllNodesAtOnceAndHonestly() throws Exception {
        block();
        for (PromptGuard guard : guards) {
            Refusal refusal = guard.refusal(FATAL.callerRequest()).orElseThrow();
            assertEquals(503, refusal.status());
            assertTrue(refusal.retryAfterMs().orElseThrow() >= PromptGuard.FIRST_TRIAL_AFTER_MS / 2, "herd");
            assertThrows(RefusedException.class, () -> guard.admit(FATAL, latest()));
            assertEquals(Optional.empty(), guard.refusal(SOUND.callerRequest()));
            assertEquals(1, guard.blockedCount());
        }
    }

    /** Failure: what was blocked could never be tried again, or every node tried it. */
    @Test
    void oneNodeTriesTheBlockedPartAfterAPauseThatGrows() throws Exception {
        block();
        advanceMs(PromptGuard.FIRST_TRIAL_AFTER_MS - 1);
        assertEquals(List.of(), trying());
        advanceMs(1);
        assertEquals(1, trying().size());
        PromptGuard trying = trying().getFirst();
        endRunner(trying, FATAL);
        assertEquals(List.of(), trying());
        advanceMs(2 * PromptGuard.FIRST_TRIAL_AFTER_MS - 1);
        assertEquals(List.of(), trying());
        advanceMs(1);
        assertEquals(List.of(trying), trying());
    }

    /** Failure: several requests were tried at a time. */
    @Test
    void onlyASingleRequestIsTried() throws Exception {
        block();
        advanceMs(PromptGuard.FIRST_TRIAL_AFTER_MS);
        PromptGuard trying = trying().getFirst();
        try (PromptPermit permit = trying.admit(FATAL, latest())) {
            assertFalse(permit.hasBegun());
            assertEquals(List.of(), trying());
        }
        assertEquals(List.of(), trying());
    }

    @Test
    void answerToATrialFreesWhatWasBlockedByMistake() throws Exception {
        block();
        advanceMs(PromptGuard.FIRST_TRIAL_AFTER_MS);
        PromptGuard trying = trying().getFirst();
        try (PromptPermit permit = trying.admit(FATAL, latest())) {
            permit.answerBegun();
        }
        share(trying);
        assertEquals(guards, trying());
    }

    /** Failure: suspected requests ran side by side, so that an end did not show which of them caused it. */
    @Test
    void suspectedRequestsAreSentOneAtATime() throws Exception {
        PromptGuard guard = guards.getFirst();
        endRunner(guard, FATAL);
        try (PromptPermit first = guard.admit(FATAL, latest())) {
            assertFalse(first.hasBegun());
            assertThrows(RefusedException.class, () -> guard.admit(FATAL, nanos.get() + 1));
            assertEquals(Optional.empty(), guard.admitWithoutSuspicion(FATAL.callerRequest()));
            guard.admit(Requests.withPrompt("another"), latest()).close();
            first.answerBegun();
            guard.admit(FATAL, latest()).close();
        }
    }

    @Test
    void waitingRequestsAreToldWhenAPartIsBlocked() throws Exception {
        AtomicInteger blocked = new AtomicInteger();
        guards.getLast().onBlocked(blocked::incrementAndGet);
        endRunner(guards.getFirst(), FATAL);
        endRunner(guards.getFirst(), FATAL);
        assertEquals(0, blocked.get());
        endRunner(guards.getFirst(), FATAL);
        assertEquals(1, blocked.get());
    }

    /** Failure: in a large fleet some nodes never heard of the ends, since some of them were silent. */
    @Test
    void reportsReachAllNodesOfALargeFleet() {
        for (int size : new int[] {2, 7, 95, 370}) {
            List<String> names =
                    IntStream.range(0, size).mapToObj(i -> "front-" + i).toList();
            List<String> alive = names.stream()
                    .filter(name -> size < 20 || name.hashCode() % 10 != 0)
                    .toList();
            assertEquals(alive.size(), reached(alive.getFirst(), alive, names).size(), size + " nodes");
        }
    }

    private static List<String> reached(String from, List<String> alive, List<String> names) {
        List<String> reached = new ArrayList<>(List.of(from));
        for (int i = 0; i < reached.size(); i++) {
            CrashReportSender.receivers(reached.get(i), Set.copyOf(names)).stream()
                    .filter(alive::contains)
                    .filter(name -> !reached.contains(name))
                    .forEach(reached::add);
        }
        return reached;
    }
}
