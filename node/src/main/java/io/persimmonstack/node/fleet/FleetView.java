package io.persimmonstack.node.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Holds the current {@link Fleet} snapshot, which each update replaces. Thread-safe; reads take no lock. */
public final class FleetView {
    private final AtomicReference<Fleet> current = new AtomicReference<>(Fleet.unknown());
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    private final AtomicInteger maxPeersSeen = new AtomicInteger();
    private volatile Set<String> silentNodes = Set.of();

    private FleetView() {}

    /** Returns a view that holds {@link Fleet#unknown()}. */
    public static FleetView create() {
        return new FleetView();
    }

    /** Returns the current snapshot. */
    public Fleet current() {
        return current.get();
    }

    /**
     * Replaces the snapshot and notifies the listeners on the calling thread.
     *
     * @param change computes the new snapshot from the current one; it may run more than once and must be pure
     */
    public void update(UnaryOperator<Fleet> change) {
        Fleet updated = current.updateAndGet(change);
        maxPeersSeen.accumulateAndGet(updated.peers().size(), Math::max);
        listeners.forEach(Runnable::run);
    }

    /** Returns the highest number of nodes listed at one time; nodes that are no longer listed may still be running. */
    public int maxPeersSeen() {
        return maxPeersSeen.get();
    }

    /** Returns the names of listed nodes that do not respond. */
    public Set<String> silentNodes() {
        return silentNodes;
    }

    /** Replaces the names of listed nodes that do not respond. */
    public void updateSilentNodes(Set<String> nodes) {
        silentNodes = Set.copyOf(nodes);
    }

    /** Adds an action that runs after each update on the updating thread; it must not block. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }
}
