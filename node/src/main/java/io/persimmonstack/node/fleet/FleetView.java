package io.persimmonstack.node.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** The current {@link Fleet}, replaced whole on each change and read without locks. */
public final class FleetView {
    private final AtomicReference<Fleet> current = new AtomicReference<>(Fleet.unknown());
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    private final AtomicInteger maxPeersSeen = new AtomicInteger();
    private volatile Set<String> silentNodes = Set.of();

    private FleetView() {}

    /** Returns a view of a fleet of which nothing is known. */
    public static FleetView create() {
        return new FleetView();
    }

    /** Returns the current state. */
    public Fleet current() {
        return current.get();
    }

    /**
     * Replaces the state and tells the listeners.
     *
     * @param change computes the new state from the current one; may run more than once
     */
    public void update(UnaryOperator<Fleet> change) {
        Fleet updated = current.updateAndGet(change);
        maxPeersSeen.accumulateAndGet(updated.peers().size(), Math::max);
        listeners.forEach(Runnable::run);
    }

    /** Returns the most nodes that were ever listed at once; those that are listed no more may still be at work. */
    public int maxPeersSeen() {
        return maxPeersSeen.get();
    }

    /** Returns the nodes that are listed and have fallen silent. */
    public Set<String> silentNodes() {
        return silentNodes;
    }

    /** Takes the nodes that have fallen silent. */
    public void silentNodes(Set<String> nodes) {
        silentNodes = Set.copyOf(nodes);
    }

    /** Adds an action to run after each change; it must not block. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }
}
