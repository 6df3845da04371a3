package io.persimmonstack.node.planning;

import io.persimmonstack.node.fleet.Runner;

/** Calls of the planner to runners. */
public interface RunnerControl {
    /**
     * Gives an order. It is addressed to the runner's identifier, so that no other process carries it out.
     *
     * @param runner runner to order
     * @param order what to do
     * @param ticket what keeps it from being carried out out of turn
     */
    OrderAnswer order(Runner runner, PlacementOrder order, OrderTicket ticket);

    /**
     * Asks for the state of a runner.
     *
     * @param runner runner to ask
     * @return its state
     * @throws RunnerControlException if it gave none
     */
    RunnerStatus status(Runner runner) throws RunnerControlException;
}
