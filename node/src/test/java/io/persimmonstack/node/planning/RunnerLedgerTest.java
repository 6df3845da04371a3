package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Runner that a node could not reach: its models count no more once the leader cannot reach it either. */
class RunnerLedgerTest {
    private static final Runner RUNNER = new Runner(
            "r1",
            1,
            "s",
            new PeerAddress("127.0.0.1", 1),
            "z",
            4,
            false,
            List.of(new HeldModel("a", 1, Set.of())),
            Set.of(),
            Set.of("a"));
    private final RunnerLedger ledger = new RunnerLedger(RUNNER);

    @Test
    void suspectedRunnerThatAnswersNobodyIsTakenForGone() {
        ledger.suspect(System.nanoTime());
        ledger.notAnswered(System.nanoTime());
        assertTrue(leaving());
    }

    @Test
    void runnerThatOnlyTheLeaderCannotReachStays() {
        ledger.notAnswered(System.nanoTime());
        assertFalse(leaving());
    }

    @Test
    void suspectedRunnerThatAnswersStays() {
        ledger.suspect(System.nanoTime());
        ledger.notAnswered(System.nanoTime());
        ledger.answered(report(), System.nanoTime());
        assertFalse(leaving());
        ledger.notAnswered(System.nanoTime());
        assertFalse(leaving());
    }

    @Test
    void suspicionIsLookedIntoAtOnce() {
        long later = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
        ledger.asking(later);
        ledger.answered(report(), later);
        later += TimeUnit.MILLISECONDS.toNanos(500);
        assertFalse(ledger.wantsStatus(later));
        ledger.suspect(later);
        assertTrue(ledger.wantsStatus(later));
    }

    @Test
    void adapterOfALateOrderTakesAPlaceWhileItIsInTransit() {
        ModelRef late = new ModelRef("a", "late");
        ledger.asking(System.nanoTime());
        ledger.answered(
                new RunnerStatus(
                        false, 1, List.of(new HeldModel("a", 1, Set.of("x"))), Set.of(late), Set.of(), Set.of("a")),
                System.nanoTime());
        assertEquals(2, ledger.state(List.of(), Fleets.engine("a")).adapters());
        ledger.asking(System.nanoTime());
        ledger.answered(
                new RunnerStatus(
                        false, 1, List.of(new HeldModel("a", 1, Set.of("x", "late"))), Set.of(), Set.of(), Set.of("a")),
                System.nanoTime());
        assertEquals(2, ledger.state(List.of(), Fleets.engine("a")).adapters());
    }

    @Test
    void comingModelIsTheOneThatTheDirectiveLoads() {
        ledger.asking(System.nanoTime());
        ledger.answered(report(), System.nanoTime());
        long now = System.nanoTime();
        assertTrue(ledger.begin(
                new Directive("r1", List.of(new PlacementOrder.LoadModel("b")), "waiting"),
                Fleets.engine("a", "b"),
                now));
        assertEquals(new RunnerLedger.Coming("b", 6_000), ledger.coming(now).orElseThrow());
        assertEquals(
                new RunnerLedger.Coming("b", 0),
                ledger.coming(now + TimeUnit.SECONDS.toNanos(7)).orElseThrow());
    }

    private boolean leaving() {
        return ledger.state(List.of(), Fleets.engine("a")).leaving();
    }

    private static RunnerStatus report() {
        return new RunnerStatus(false, 0, List.of(new HeldModel("a", 1, Set.of())), Set.of(), Set.of(), Set.of("a"));
    }
}
