package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Engine of one runner for tests, with the orders in flight to it. */
final class FakeEngine {
    final Set<ModelVersion> loaded = new TreeSet<>();
    private final boolean fencing;
    private final List<Order> inFlight = new ArrayList<>();
    private long highestEpoch;

    private record Order(NodeIdentity sender, long epoch, boolean load, ModelVersion model) {}

    FakeEngine(boolean fencing) {
        this.fencing = fencing;
    }

    boolean fencing() {
        return fencing;
    }

    void send(NodeIdentity sender, long epoch, boolean load, ModelVersion model) {
        inFlight.add(new Order(sender, epoch, load, model));
    }

    boolean hasOrdersInFlightFrom(NodeIdentity sender) {
        return inFlight.stream().anyMatch(order -> order.sender().equals(sender));
    }

    int ordersInFlight() {
        return inFlight.size();
    }

    /** Removes an order from those in flight and executes it, unless it is lost or refused for its epoch. */
    void deliver(int index, boolean lost) {
        Order order = inFlight.remove(index);
        if (lost || !acceptEpoch(order.epoch())) {
            return;
        }
        if (order.load()) {
            loaded.add(order.model());
        } else {
            loaded.remove(order.model());
        }
    }

    /** Executes all orders in flight, in the order in which they were sent. */
    void deliverAll() {
        while (!inFlight.isEmpty()) {
            deliver(0, false);
        }
    }

    /**
     * Processes the epoch of an order. A fencing engine refuses epochs below the highest one it has accepted.
     *
     * @return whether the order is accepted
     */
    boolean acceptEpoch(long epoch) {
        if (fencing && epoch < highestEpoch) {
            return false;
        }
        highestEpoch = Math.max(highestEpoch, epoch);
        return true;
    }
}
