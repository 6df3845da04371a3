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
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Orders to one runner carry the expected sequence number and the term as fencing token, and none is sent once this
 * node is no longer the leader.
 */
class OrderExecutorTest {
    private static final long TERM = 41;
    private static final long LEADS_AFTER_CONFLICT_NANOS = 20_000_000;
    private static final Engine ENGINE = new Engine(
            4, 1_000, 100, 4, 3, Map.of("a", new Model("a", 10, 5, 1, 1, 1), "b", new Model("b", 10, 5, 1, 1, 1)));
    private static final Runner RUNNER = new Runner(
            "r1",
            1,
            "v1",
            "s",
            new PeerAddress("127.0.0.1", 1),
            "z",
            4,
            false,
            List.of(new HeldModel("a", 1, Set.of())),
            Set.of(),
            Set.of("a", "b"));
    private final List<OrderPrecondition> preconditions = new ArrayList<>();
    private final Deque<OrderAnswer> answers = new ArrayDeque<>();
    private final List<String> fencingCauses = new ArrayList<>();
    private int unansweredStatusCalls;
    private long conflictNanos;
    private final RunnerStateTracker tracker = new RunnerStateTracker(RUNNER);

    private final RunnerControl control = new RunnerControl() {
        @Override
        public void onNotice(RunnerNoticeListener listener) {}

        @Override
        public OrderAnswer order(
                Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads) {
            preconditions.add(precondition);
            OrderAnswer answer = answers.isEmpty() ? OrderAnswer.ACCEPTED : answers.removeFirst();
            if (answer == OrderAnswer.CONFLICT) {
                conflictNanos = System.nanoTime();
            }
            return answer;
        }

        @Override
        public RunnerStatus status(Runner runner) throws RunnerControlException {
            if (unansweredStatusCalls > 0) {
                unansweredStatusCalls--;
                throw new RunnerControlException("no response head within 1000 ms");
            }
            return runnerStatus(false, 9, "a");
        }
    };

    private static RunnerStatus runnerStatus(boolean busy, long sequence, String... models) {
        List<HeldModel> held = new ArrayList<>();
        for (String model : models) {
            held.add(new HeldModel(model, 1, Set.of()));
        }
        return new RunnerStatus(busy, sequence, held, Set.of(), Set.of(), Set.of("a", "b"));
    }

    private void applyIdleStatus(long sequence) {
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(runnerStatus(false, sequence, "a"), System.nanoTime());
    }

    private void executeSwap(BooleanSupplier stillLeads) {
        Directive directive = swap();
        assertTrue(tracker.beginDirective(directive, ENGINE, System.nanoTime()));
        execute(directive, stillLeads);
    }

    private static Directive swap() {
        return new Directive(
                "r1", 7, List.of(new PlacementOrder.UnloadModel("a"), new PlacementOrder.LoadModel("b")), "waiting");
    }

    private void execute(Directive directive, BooleanSupplier stillLeads) {
        OrderExecutor.of("n1", control, NodeMetrics.in(new MetricRegistry()), fencingCauses::add)
                .execute(new DirectiveTask(tracker, directive, TERM, ENGINE, stillLeads));
    }

    @Test
    void ordersCarryTermAndSequence() {
        applyIdleStatus(7);
        executeSwap(() -> true);
        assertEquals(
                List.of(new OrderPrecondition("n1", TERM, 7), new OrderPrecondition("n1", TERM, 8)), preconditions);
        assertEquals("b", tracker.servedModels().getFirst().name());
    }

    /** Runner overfilled: an order that was planned on an older state carried the sequence number of a newer one. */
    @Test
    void ordersCarryTheSequenceOfTheStateTheyWerePlannedOn() {
        applyIdleStatus(7);
        Directive directive = swap();
        assertTrue(tracker.beginDirective(directive, ENGINE, System.nanoTime()));
        tracker.orderAccepted(System.nanoTime());
        execute(directive, () -> true);
        assertEquals(new OrderPrecondition("n1", TERM, 7), preconditions.getFirst());
    }

    @Test
    void loadIsRetriedWhileUnloadIsInProgress() {
        applyIdleStatus(7);
        answers.addAll(List.of(OrderAnswer.ACCEPTED, OrderAnswer.CONFLICT, OrderAnswer.CONFLICT));
        executeSwap(() -> true);
        assertEquals(4, preconditions.size());
        assertEquals("b", tracker.servedModels().getFirst().name());
    }

    /** Two leaders' orders took turns: one that had been frozen between two tries sent the next one when it woke up. */
    @Test
    void orderIsNotRetriedOnceTheLeadershipHasEndedDuringThePause() {
        applyIdleStatus(7);
        answers.addAll(List.of(OrderAnswer.ACCEPTED, OrderAnswer.CONFLICT, OrderAnswer.CONFLICT));
        executeSwap(() -> conflictNanos == 0 || System.nanoTime() - conflictNanos < LEADS_AFTER_CONFLICT_NANOS);
        assertEquals(2, preconditions.size());
    }

    @Test
    void firstOrderIsNotRetriedAfterConflict() {
        applyIdleStatus(7);
        answers.add(OrderAnswer.CONFLICT);
        executeSwap(() -> true);
        assertEquals(1, preconditions.size());
        assertFalse(tracker.beginDirective(
                new Directive("r1", 7, List.of(new PlacementOrder.LoadModel("b")), "waiting"),
                ENGINE,
                System.nanoTime()));
    }

    @Test
    void unansweredOrderLeavesStateUnknown() {
        applyIdleStatus(7);
        answers.add(OrderAnswer.UNKNOWN);
        executeSwap(() -> true);
        assertEquals(1, preconditions.size());
        assertFalse(tracker.beginDirective(
                new Directive("r1", 7, List.of(new PlacementOrder.LoadModel("b")), "waiting"),
                ENGINE,
                System.nanoTime()));
    }

    /** One status that was not answered used to end the directive, as if its order had failed. */
    @Test
    void runnerThatIsSilentForAMomentIsNotGivenUp() {
        applyIdleStatus(7);
        unansweredStatusCalls = 1;
        Directive directive = new Directive(
                "r1",
                7,
                List.of(new PlacementOrder.UnloadAdapter("a", "x"), new PlacementOrder.LoadAdapter("a", "y")),
                "waiting");
        assertTrue(tracker.beginDirective(directive, ENGINE, System.nanoTime()));
        execute(directive, () -> true);
        assertEquals(2, preconditions.size());
    }

    @Test
    void noOrderIsSentWithoutLeadership() {
        applyIdleStatus(7);
        executeSwap(() -> false);
        assertTrue(preconditions.isEmpty());
    }

    @Test
    void leadershipLostBetweenOrdersEndsDirective() {
        applyIdleStatus(7);
        executeSwap(() -> preconditions.isEmpty());
        assertEquals(1, preconditions.size());
    }

    @Test
    void fencedOrderReportsLaterTerm() {
        applyIdleStatus(7);
        answers.add(OrderAnswer.FENCED);
        executeSwap(() -> true);
        assertEquals(1, fencingCauses.size());
    }

    @Test
    void statusRequestedBeforeAnOrderIsIgnored() {
        applyIdleStatus(7);
        tracker.markStatusRequested(System.nanoTime());
        tracker.orderAccepted(System.nanoTime());
        tracker.applyStatus(runnerStatus(false, 7, "a"), System.nanoTime());
        assertEquals(8, tracker.sequence());
    }

    @Test
    void modelMissingFromBusyRunnersStatusIsNotServed() {
        applyIdleStatus(7);
        tracker.applyOrder(new PlacementOrder.LoadModel("b"));
        tracker.markStatusRequested(System.nanoTime());
        tracker.applyStatus(runnerStatus(true, 8, "a"), System.nanoTime());
        assertEquals(1, tracker.servedModels().size());
        assertEquals("a", tracker.servedModels().getFirst().name());
    }

    @Test
    void adapterOrderIsRejectedWhileModelIsLoading() {
        applyIdleStatus(7);
        assertTrue(tracker.beginDirective(
                new Directive("r1", 7, List.of(new PlacementOrder.LoadModel("b")), "waiting"),
                ENGINE,
                System.nanoTime()));
        assertFalse(tracker.beginDirective(
                new Directive("r1", 7, List.of(new PlacementOrder.LoadAdapter("a", "x")), "waiting"),
                ENGINE,
                System.nanoTime()));
    }
}
