package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** The leader sends neither orders nor status requests to a runner that asked it for quiet. */
class QuietRunnerControlTest {
    private static final PlacementOrder LOAD = new PlacementOrder.LoadModel("m");
    private static final OrderPrecondition PRECONDITION = new OrderPrecondition("n1", 1, 0);
    private final FleetView fleet = FleetView.create();
    private int calls;
    private RunnerNotice answer = RunnerNotice.none();

    private final QuietRunnerControl control = QuietRunnerControl.of(
            new RunnerControl() {
                private RunnerNoticeListener listener;

                @Override
                public void onNotice(RunnerNoticeListener newListener) {
                    listener = newListener;
                }

                @Override
                public OrderAnswer order(
                        Runner runner,
                        PlacementOrder order,
                        OrderPrecondition precondition,
                        BooleanSupplier stillLeads) {
                    calls++;
                    listener.onNotice(runner, answer);
                    return OrderAnswer.ACCEPTED;
                }

                @Override
                public RunnerStatus status(Runner runner) {
                    calls++;
                    listener.onNotice(runner, answer);
                    return new RunnerStatus(false, 0, List.of(), Set.of(), Set.of(), Set.of());
                }
            },
            fleet);

    private static Runner runner(long startedMs) {
        return new Runner(
                "r1", startedMs, "v1", "s", PlannerFixture.ADDRESS, "z", 4, false, List.of(), Set.of(), Set.of());
    }

    @Test
    void runnerThatAsksForQuietInAnAnswerToAnOrderGetsNothingMore() throws RunnerControlException {
        answer = RunnerNotice.quiet(false, 20_000);
        control.order(runner(1), LOAD, PRECONDITION, () -> true);
        assertEquals(OrderAnswer.WITHHELD, control.order(runner(1), LOAD, PRECONDITION, () -> true));
        assertThrows(RunnerControlException.class, () -> control.status(runner(1)));
        assertEquals(1, calls);
        control.status(runner(2));
        assertEquals(2, calls, "another process of the runner");
    }

    /** The node's own requests, not only its orders, may have been answered with the wish for quiet. */
    @Test
    void runnerThatAskedForQuietInAnAnswerToARequestGetsNoOrder() {
        fleet.recordNotice(runner(1), RunnerNotice.quiet(false, 20_000));
        assertEquals(OrderAnswer.WITHHELD, control.order(runner(1), LOAD, PRECONDITION, () -> true));
        assertEquals(0, calls);
    }

    @Test
    void runnerThatSaysInAStatusThatItLeavesCountsAsLeaving() throws RunnerControlException {
        fleet.update(now -> now.withRunners(Map.of("r1", runner(1)), 1));
        answer = RunnerNotice.of(true);
        control.status(runner(1));
        assertEquals(true, fleet.current().runners().get("r1").leaving());
    }

    /** Failure: another receiver of the notices took the place of the record by which the control keeps quiet. */
    @Test
    void runnerThatAsksForQuietGetsNothingMoreAlsoWhenOthersReceiveTheNotices() {
        List<RunnerNotice> received = new ArrayList<>();
        control.onNotice((runner, notice) -> received.add(notice));
        answer = RunnerNotice.quiet(false, 20_000);
        control.order(runner(1), LOAD, PRECONDITION, () -> true);
        assertEquals(List.of(answer), received);
        assertEquals(OrderAnswer.WITHHELD, control.order(runner(1), LOAD, PRECONDITION, () -> true));
        assertEquals(1, calls);
    }
}
