package io.persimmonstack.node.planning;

import java.util.List;

/**
 * Orders that the planner has decided on for one runner.
 *
 * @param runner identifier of the runner
 * @param orders orders in the sequence in which to send them
 * @param reason reason for logs, one word
 */
record Directive(String runner, List<PlacementOrder> orders, String reason) {
    /** Copies the orders. */
    Directive {
        orders = List.copyOf(orders);
    }

    /** Returns whether all orders are for adapters; these do not block other orders to the runner. */
    boolean isAdaptersOnly() {
        return orders.stream()
                .allMatch(order ->
                        order instanceof PlacementOrder.LoadAdapter || order instanceof PlacementOrder.UnloadAdapter);
    }
}
