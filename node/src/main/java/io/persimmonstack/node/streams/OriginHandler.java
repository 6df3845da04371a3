package io.persimmonstack.node.streams;

import java.util.List;
import java.util.function.LongSupplier;

/** Keeps copies of origins for other nodes and tells them what this node knows; it never asks further. */
public final class OriginHandler {
    /** Largest number of copies taken from one call; further ones are ignored. */
    static final int MAX_COPIES = CopySchedule.MAX_BATCH;
    /** Longest identifier of a request, name of a service or software version that is taken, in characters. */
    static final int MAX_TEXT_LENGTH = 200;

    private final StreamOrigins local;
    private final LongSupplier nanoClock;

    private OriginHandler(StreamOrigins local, LongSupplier nanoClock) {
        this.local = local;
        this.nanoClock = nanoClock;
    }

    /** Returns a handler for the given origins, with a source of monotonic time. */
    static OriginHandler of(StreamOrigins local, LongSupplier nanoClock) {
        return new OriginHandler(local, nanoClock);
    }

    /** Keeps copies that another node sends; those with an empty or too long text are ignored. */
    public void keepOrigins(List<io.persimmonstack.wire.gen.StreamOrigin> messages) {
        long nowNanos = nanoClock.getAsLong();
        messages.stream()
                .limit(MAX_COPIES)
                .map(OriginMessages::fromMessage)
                .filter(copy -> isAcceptable(copy.request(), copy.origin()))
                .forEach(copy -> local.keep(copy.request(), copy.origin(), copy.validMs(), nowNanos));
    }

    /** Returns the origin of a stream, an empty list if it is not known here. */
    public List<io.persimmonstack.wire.gen.StreamOrigin> findOrigin(String request) {
        if (!isAcceptable(request)) {
            return List.of();
        }
        return local.findCopy(request, nanoClock.getAsLong()).map(OriginMessages::toMessage).stream()
                .toList();
    }

    /** Returns whether an origin is kept under the identifier of a request. */
    static boolean isAcceptable(String request, StreamOrigin origin) {
        return isAcceptable(request) && isAcceptable(origin.service()) && isAcceptable(origin.softwareVersion());
    }

    /** Returns whether a text is present and not too long. */
    static boolean isAcceptable(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH;
    }
}
