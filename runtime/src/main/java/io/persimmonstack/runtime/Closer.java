package io.persimmonstack.runtime;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in reverse order, each even if another fails.
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
     * Takes ownership of a resource.
     *
     * @param resource closed when this closer is
     * @param <T> type of the resource
     * @return the resource
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
