package io.persimmonstack.node.sending;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Which events of a stream the caller has. */
final class StreamProgress {
    private final long startedNanos;
    private OptionalLong lastEventId;
    private int delivered;
    private long firstMs = -1;

    private StreamProgress(OptionalLong lastEventId, long startedNanos) {
        this.lastEventId = lastEventId;
        this.startedNanos = startedNanos;
    }

    /** Returns the progress of a request whose caller has the events up to a number, if any. */
    static StreamProgress after(OptionalLong lastEventId, long startedNanos) {
        return new StreamProgress(lastEventId, startedNanos);
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns whether the caller lacks an event; a runner may begin before the event that was asked for. */
    boolean accepts(EventReader.StreamEvent event) {
        return event.id().isEmpty() || lastEventId.isEmpty() || event.id().getAsLong() > lastEventId.getAsLong();
    }

    /** Returns whether events between the last one and this one are missing. */
    boolean isOutOfOrder(EventReader.StreamEvent event) {
        return event.id().isPresent()
                && lastEventId.isPresent()
                && delivered > 0
                && event.id().getAsLong() > lastEventId.getAsLong() + 1;
    }

    void delivered(EventReader.StreamEvent event) {
        if (event.id().isPresent()) {
            lastEventId = event.id();
        }
        if (delivered++ == 0) {
            firstMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        }
    }

    boolean begun() {
        return delivered > 0;
    }

    /** Returns the time to the first event in milliseconds, negative where there was none. */
    long firstMs() {
        return firstMs;
    }
}
