package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import java.util.function.BooleanSupplier;

/** Sends nothing to runners that want no requests from this node for a while. */
final class QuietRunnerControl implements RunnerControl {
    private final RunnerControl control;
    private final FleetView fleet;

    private QuietRunnerControl(RunnerControl control, FleetView fleet) {
        this.control = control;
        this.fleet = fleet;
    }

    /** Returns a control that uses the given one, and that records in the view what runners say about themselves. */
    static QuietRunnerControl of(RunnerControl control, FleetView fleet) {
        control.onNotice(fleet::recordNotice);
        return new QuietRunnerControl(control, fleet);
    }

    /** Sets the receiver of the notices, which the view records as before. */
    @Override
    public void onNotice(RunnerNoticeListener listener) {
        control.onNotice((runner, notice) -> {
            fleet.recordNotice(runner, notice);
            listener.onNotice(runner, notice);
        });
    }

    /** Returns {@link OrderAnswer#WITHHELD} without sending the order while the runner wants quiet. */
    @Override
    public OrderAnswer order(
            Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads) {
        return isQuiet(runner) ? OrderAnswer.WITHHELD : control.order(runner, order, precondition, stillLeads);
    }

    @Override
    public RunnerStatus status(Runner runner) throws RunnerControlException {
        if (isQuiet(runner)) {
            throw new RunnerControlException(runner.id() + ": wants no requests for a while");
        }
        return control.status(runner);
    }

    /** Returns whether a runner wants no requests from this node now. */
    boolean isQuiet(Runner runner) {
        return fleet.quietUntilNanos(runner, System.nanoTime()).isPresent();
    }
}
