package io.persimmonstack.coordination.grant;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Thread-safe registry of the runners that this process owns. Readers get an immutable snapshot without locking;
 * changes to one runner are serialized by the lock of that runner.
 */
final class OwnedRunnerRegistry {
    private final Map<String, ReentrantLock> locks = new ConcurrentHashMap<>();
    private volatile SortedMap<String, OwnedRunnerState> snapshot = Collections.emptySortedMap();

    SortedMap<String, OwnedRunnerState> snapshot() {
        return snapshot;
    }

    Optional<OwnedRunnerState> find(String runner) {
        return Optional.ofNullable(snapshot.get(runner));
    }

    /** Returns the lock that serializes changes to a runner, whether or not this process owns it. */
    ReentrantLock lock(String runner) {
        return locks.computeIfAbsent(runner, name -> new ReentrantLock());
    }

    synchronized OwnedRunnerState put(OwnedRunnerState state) {
        SortedMap<String, OwnedRunnerState> next = new TreeMap<>(snapshot);
        next.put(state.runner(), state);
        snapshot = Collections.unmodifiableSortedMap(next);
        return state;
    }

    synchronized void remove(String runner) {
        SortedMap<String, OwnedRunnerState> next = new TreeMap<>(snapshot);
        next.remove(runner);
        snapshot = Collections.unmodifiableSortedMap(next);
    }
}
