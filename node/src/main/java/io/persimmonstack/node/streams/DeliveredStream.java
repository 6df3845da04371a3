package io.persimmonstack.node.streams;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Stream that this node delivers, or delivered until it was closed. Thread-safe. */
final class DeliveredStream implements OriginDirectory.KeptOrigin {
    private final String request;
    private final StreamOrigin origin;
    private final long validMs;
    private volatile boolean ended;
    private volatile OptionalLong completeNanos = OptionalLong.empty();

    private DeliveredStream(String request, StreamOrigin origin, long validMs) {
        this.request = request;
        this.origin = origin;
        this.validMs = validMs;
    }

    /**
     * Returns a stream whose delivery begins.
     *
     * @param request identifier of the request that brought the first event
     * @param origin where the stream began
     * @param validMs for how long its caller may resume it, in milliseconds, at most {@link StreamOrigins#MAX_VALID_MS}
     */
    static DeliveredStream of(String request, StreamOrigin origin, long validMs) {
        return new DeliveredStream(request, origin, Math.clamp(validMs, 0, StreamOrigins.MAX_VALID_MS));
    }

    String request() {
        return request;
    }

    StreamOrigin origin() {
        return origin;
    }

    long validMs() {
        return validMs;
    }

    /** Returns whether this node no longer delivers the stream. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns how long ago the stream was delivered to its end, in milliseconds; empty if it was not. */
    OptionalLong completeForMs(long nowNanos) {
        OptionalLong nanos = completeNanos;
        return nanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos.getAsLong()));
    }

    @Override
    public void complete() {
        completeNanos = OptionalLong.of(System.nanoTime());
    }

    @Override
    public void close() {
        ended = true;
    }
}
