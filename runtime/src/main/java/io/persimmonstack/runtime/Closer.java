package io.persimmonstack.runtime;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Owns resources and closes them in reverse order of registration. A failure to close one does not keep the others
 * open: the first failure is thrown at the end, later ones are added to it as suppressed. Thread-safe.
 *
 * <pre>{@code
 * try (Closer closer = Closer.create()) {
 *     Server server = closer.add(Server.start());
 * }
 * }</pre>
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    private Closer() {}

    /** Returns an empty closer. */
    public static Closer create() {
        return new Closer();
    }

    /**
     * Registers a resource to be closed with this closer.
     *
     * @param resource resource to close
     * @param <T> type of the resource
     * @return the same resource, for assignment
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    @Override
    public synchronized void close() {
        RuntimeException failure = null;
        while (!resources.isEmpty()) {
            failure = closeNext(failure);
        }
        if (failure != null) {
            throw failure;
        }
    }

    /** Closes the resource added last and returns the first failure so far, or null. */
    private RuntimeException closeNext(RuntimeException firstFailure) {
        try {
            resources.pop().close();
            return firstFailure;
        } catch (Exception e) {
            RuntimeException failure =
                    firstFailure == null ? new IllegalStateException("cannot close a resource", e) : firstFailure;
            if (firstFailure != null) {
                failure.addSuppressed(e);
            }
            return failure;
        }
    }
}
