package io.persimmonstack.node.planning;

import io.persimmonstack.node.request.ModelRef;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Orders that the planner has decided on for one runner.
 *
 * @param runner identifier of the runner
 * @param sequence number of orders that the runner had accepted in the state on which these were planned
 * @param orders orders in the sequence in which to send them
 * @param reason reason for logs, one word
 */
record Directive(String runner, long sequence, List<PlacementOrder> orders, String reason) {
    /** Copies the orders. */
    Directive {
        orders = List.copyOf(orders);
    }

    /** Returns the model whose load is ordered, empty if only adapters are. */
    Optional<String> loadedModel() {
        return orders.stream()
                .filter(PlacementOrder.LoadModel.class::isInstance)
                .map(PlacementOrder::model)
                .findFirst();
    }

    /** Returns the adapters whose loads are ordered. */
    Set<ModelRef> loadedAdapters() {
        return orders.stream()
                .filter(PlacementOrder.LoadAdapter.class::isInstance)
                .map(PlacementOrder.LoadAdapter.class::cast)
                .map(load -> new ModelRef(load.model(), load.adapter()))
                .collect(Collectors.toSet());
    }
}
