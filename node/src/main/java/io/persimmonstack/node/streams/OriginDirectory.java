package io.persimmonstack.node.streams;

import java.util.Optional;

/** Origins of the streams of all nodes, by the request that brought their first event. Thread-safe. */
public interface OriginDirectory {
    /**
     * Keeps the origin of a stream whose first event is about to be delivered. Never blocks.
     *
     * @param request identifier of the request that brought, or brings, the first event
     * @param origin where the stream began
     * @param validMs for how long its caller may resume it, in milliseconds
     * @return the kept origin, to be closed when this node no longer delivers the stream
     */
    KeptOrigin keep(String request, StreamOrigin origin, long validMs);

    /**
     * Records that a stream began at a version of a service that no entry has told, so that its origin is not kept.
     * Never blocks.
     */
    default void recordUntold(String service) {}

    /**
     * Returns the origin of a stream, asking other nodes for a moment if this one does not know it.
     *
     * @param request identifier of the request that brought the first event
     * @return the origin, empty if none of the nodes that were asked knows it
     * @throws InterruptedException if the thread is interrupted, because the caller has disconnected
     */
    Optional<StreamOrigin> find(String request) throws InterruptedException;

    /**
     * Searches the origin of a stream as {@link #find} does, and tells whether it can still become known.
     *
     * @param request identifier of the request that brought the first event
     * @throws InterruptedException if the thread is interrupted, because the caller has disconnected
     */
    default Search search(String request) throws InterruptedException {
        return new Search(find(request), false);
    }

    /**
     * Result of a search.
     *
     * @param origin where the stream began, empty if it is not known
     * @param allAsked whether every node has been asked and has answered, so that it cannot become known any more
     */
    record Search(Optional<StreamOrigin> origin, boolean allAsked) {}

    /** Origin of a stream that this node delivers. */
    interface KeptOrigin extends AutoCloseable {
        /** Records that the stream was delivered to its end, so that its caller will hardly resume it. */
        default void complete() {}

        /** Ends the delivery; the origin is kept until it is no longer valid. */
        @Override
        void close();
    }
}
