package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNoticeListener;
import java.util.function.BooleanSupplier;

/** Sends orders and status requests to runners; the calls block. */
public interface RunnerControl {
    /** Sets the receiver of what runners say about themselves in any answer, replacing an earlier one. */
    void onNotice(RunnerNoticeListener listener);

    /**
     * Sends an order. It is addressed to the runner's identifier, so that another process at the same address rejects
     * it.
     *
     * @param runner runner that is to carry out the order
     * @param order order to send
     * @param precondition fencing token and expected sequence number
     * @param stillLeads returns whether this node still leads; asked right before the order is sent, must not block
     * @return the runner's answer, {@link OrderAnswer#UNKNOWN} if none came or the order was not sent
     */
    OrderAnswer order(Runner runner, PlacementOrder order, OrderPrecondition precondition, BooleanSupplier stillLeads);

    /**
     * Requests the status of a runner.
     *
     * @param runner runner to query
     * @return its status
     * @throws RunnerControlException if the runner gives no usable answer
     */
    RunnerStatus status(Runner runner) throws RunnerControlException;
}
