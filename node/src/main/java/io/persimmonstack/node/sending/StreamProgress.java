package io.persimmonstack.node.sending;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Tracks which events of a stream the caller has received, over all attempts. Not thread-safe. */
final class StreamProgress {
    private final long receivedNanos;
    private OptionalLong lastEventId;
    private int deliveredCount;
    private long lastDeliveredNanos;
    private long firstEventMs = -1;

    private StreamProgress(OptionalLong lastEventId, long receivedNanos) {
        this.lastEventId = lastEventId;
        this.receivedNanos = receivedNanos;
    }

    /**
     * Returns the progress of a request before its first event.
     *
     * @param lastEventId last event that the caller received in an earlier request, if it resumes a stream
     * @param receivedNanos monotonic time at which the request was received
     */
    static StreamProgress startingAfter(OptionalLong lastEventId, long receivedNanos) {
        return new StreamProgress(lastEventId, receivedNanos);
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /**
     * Returns whether the caller has not received the event yet. A runner that resumes a stream may begin before the
     * event that was asked for.
     */
    boolean isNew(EventReader.StreamEvent event) {
        return event.id().isEmpty() || lastEventId.isEmpty() || event.id().getAsLong() > lastEventId.getAsLong();
    }

    /** Returns whether events are missing between the last one delivered for this request and this one. */
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
        lastDeliveredNanos = System.nanoTime();
        if (deliveredCount++ == 0) {
            firstEventMs = TimeUnit.NANOSECONDS.toMillis(lastDeliveredNanos - receivedNanos);
        }
    }

    /** Returns the number of events that the caller has received from this request. */
    int deliveredCount() {
        return deliveredCount;
    }

    boolean hasStarted() {
        return deliveredCount > 0;
    }

    /** Returns the monotonic time since which the caller waits: that of the last event, or of the request before it. */
    long waitingSinceNanos() {
        return hasStarted() ? lastDeliveredNanos : receivedNanos;
    }

    /** Returns the time from the request to its first event, in milliseconds; negative if there is none. */
    long firstEventMs() {
        return firstEventMs;
    }
}
