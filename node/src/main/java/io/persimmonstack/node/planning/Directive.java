package io.persimmonstack.node.planning;

import java.util.List;

/**
 * Decision of the planner.
 *
 * @param runner identifier of the runner
 * @param orders what it is to do, in this order
 * @param reason why, one word for logs
 */
record Directive(String runner, List<PlacementOrder> orders, String reason) {
    /** Copies the orders. */
    Directive {
        orders = List.copyOf(orders);
    }

    /** Returns whether it concerns adapters alone, which keep no other order from being carried out. */
    boolean isAdaptersOnly() {
        return orders.stream()
                .allMatch(order ->
                        order instanceof PlacementOrder.LoadAdapter || order instanceof PlacementOrder.UnloadAdapter);
    }
}
