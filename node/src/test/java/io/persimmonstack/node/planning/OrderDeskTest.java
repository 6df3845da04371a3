package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Orders to one runner: in turn, fenced by the term, and none without the lead. */
class OrderDeskTest {
    private static final long TERM = 41;
    private static final Engine ENGINE = new Engine(
            4, 1_000, 100, 4, 3, Map.of("a", new Model("a", 10, 5, 1, 1, 1), "b", new Model("b", 10, 5, 1, 1, 1)));
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
            Set.of("a", "b"));
    private final List<OrderTicket> tickets = new ArrayList<>();
    private final Deque<OrderAnswer> answers = new ArrayDeque<>();
    private final List<String> fenced = new ArrayList<>();
    private final RunnerLedger ledger = new RunnerLedger(RUNNER);

    private final RunnerControl control = new RunnerControl() {
        @Override
        public OrderAnswer order(Runner runner, PlacementOrder order, OrderTicket ticket) {
            tickets.add(ticket);
            return answers.isEmpty() ? OrderAnswer.ACCEPTED : answers.removeFirst();
        }

        @Override
        public RunnerStatus status(Runner runner) {
            return report(false, 9, "a");
        }
    };

    private static RunnerStatus report(boolean busy, long sequence, String... models) {
        List<HeldModel> held = new ArrayList<>();
        for (String model : models) {
            held.add(new HeldModel(model, 1, Set.of()));
        }
        return new RunnerStatus(busy, sequence, held, Set.of(), Set.of(), Set.of("a", "b"));
    }

    private void reported(long sequence) {
        ledger.asking(System.nanoTime());
        ledger.answered(report(false, sequence, "a"), System.nanoTime());
    }

    private void swap(BooleanSupplier leads) {
        Directive directive = new Directive(
                "r1", List.of(new PlacementOrder.UnloadModel("a"), new PlacementOrder.LoadModel("b")), "waiting");
        assertTrue(ledger.begin(directive, ENGINE, System.nanoTime()));
        OrderDesk.of("n1", control, NodeMetrics.in(new MetricRegistry()), fenced::add)
                .carryOut(new Assignment(ledger, directive, TERM, ENGINE, leads));
    }

    @Test
    void ordersBearTermAndTheNumberOfOrdersTaken() {
        reported(7);
        swap(() -> true);
        assertEquals(List.of(new OrderTicket("n1", TERM, 7), new OrderTicket("n1", TERM, 8)), tickets);
        assertEquals("b", ledger.serving().getFirst().name());
    }

    @Test
    void loadIsRepeatedWhileTheUnloadBeforeItIsInProgress() {
        reported(7);
        answers.addAll(List.of(OrderAnswer.ACCEPTED, OrderAnswer.CONFLICT, OrderAnswer.CONFLICT));
        swap(() -> true);
        assertEquals(4, tickets.size());
        assertEquals("b", ledger.serving().getFirst().name());
    }

    @Test
    void firstOrderThatMeetsAnotherStateIsNotRepeated() {
        reported(7);
        answers.add(OrderAnswer.CONFLICT);
        swap(() -> true);
        assertEquals(1, tickets.size());
        assertFalse(ledger.begin(
                new Directive("r1", List.of(new PlacementOrder.LoadModel("b")), "waiting"), ENGINE, System.nanoTime()));
    }

    @Test
    void unansweredOrderLeavesTheStateUnknownUntilTheNextReport() {
        reported(7);
        answers.add(OrderAnswer.UNKNOWN);
        swap(() -> true);
        assertEquals(1, tickets.size());
        assertFalse(ledger.begin(
                new Directive("r1", List.of(new PlacementOrder.LoadModel("b")), "waiting"), ENGINE, System.nanoTime()));
    }

    @Test
    void noOrderIsGivenWithoutTheLead() {
        reported(7);
        swap(() -> false);
        assertTrue(tickets.isEmpty());
    }

    @Test
    void leadLostBetweenTwoOrdersEndsTheDirective() {
        reported(7);
        swap(() -> tickets.isEmpty());
        assertEquals(1, tickets.size());
    }

    @Test
    void runnerThatHasSeenALaterTermDeposesTheLeader() {
        reported(7);
        answers.add(OrderAnswer.FENCED);
        swap(() -> true);
        assertEquals(1, fenced.size());
    }

    @Test
    void reportAskedForBeforeAnOrderSaysNothingOfTheStateAfterIt() {
        reported(7);
        ledger.asking(System.nanoTime());
        ledger.accepted(System.nanoTime());
        ledger.answered(report(false, 7, "a"), System.nanoTime());
        assertEquals(8, ledger.sequence());
    }

    @Test
    void modelThatABusyRunnerDoesNotShowIsNotServed() {
        reported(7);
        ledger.apply(new PlacementOrder.LoadModel("b"));
        ledger.asking(System.nanoTime());
        ledger.answered(report(true, 8, "a"), System.nanoTime());
        assertEquals(1, ledger.serving().size());
        assertEquals("a", ledger.serving().getFirst().name());
    }

    @Test
    void adapterWaitsForAModelThatIsBeingLoaded() {
        reported(7);
        assertTrue(ledger.begin(
                new Directive("r1", List.of(new PlacementOrder.LoadModel("b")), "waiting"), ENGINE, System.nanoTime()));
        assertFalse(ledger.begin(
                new Directive("r1", List.of(new PlacementOrder.LoadAdapter("a", "x")), "waiting"),
                ENGINE,
                System.nanoTime()));
    }
}
