package io.persimmonstack.node.sending;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Which events of a stream the caller has. */
final class StreamProgress {
    private final long receivedNanos;
    private OptionalLong lastEventId;
    private int deliveredCount;
    private long firstEventMs = -1;

    private StreamProgress(OptionalLong lastEventId, long receivedNanos) {
        this.lastEventId = lastEventId;
        this.receivedNanos = receivedNanos;
    }

    /** Returns the progress of a request whose caller has the events up to a number, if any. */
    static StreamProgress startingAfter(OptionalLong lastEventId, long receivedNanos) {
        return new StreamProgress(lastEventId, receivedNanos);
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns whether the caller lacks an event; a runner may begin before the event that was asked for. */
    boolean isNew(EventReader.StreamEvent event) {
        return event.id().isEmpty() || lastEventId.isEmpty() || event.id().getAsLong() > lastEventId.getAsLong();
    }

    /** Returns whether events between the last one and this one are missing. */
    boolean followsGap(EventReader.StreamEvent event) {
        return event.id().isPresent()
                && lastEventId.isPresent()
                && deliveredCount > 0
                && event.id().getAsLong() > lastEventId.getAsLong() + 1;
    }

    void recordDelivered(EventReader.StreamEvent event) {
        if (event.id().isPresent()) {
            lastEventId = event.id();
        }
        if (deliveredCount++ == 0) {
            firstEventMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedNanos);
        }
    }

    boolean hasStarted() {
        return deliveredCount > 0;
    }

    /** Returns the time to the first event in milliseconds, negative where there was none. */
    long firstEventMs() {
        return firstEventMs;
    }
}
