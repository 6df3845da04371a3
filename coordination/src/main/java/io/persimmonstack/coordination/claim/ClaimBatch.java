package io.persimmonstack.coordination.claim;

import java.util.List;

/** Segment on its way into the log, with those who wait for it. */
final class ClaimBatch {
    /** How far the segment got. */
    enum State {
        /** No attempt to create it had an effect. */
        UNWRITTEN,
        /** An attempt got no reply and may take effect at any time. */
        AMBIGUOUS,
        /** It exists; whether its number was deleted before is not known yet. */
        RECORDED
    }

    private final ClaimSegment segment;
    private final List<QueuedEntry> queuedEntries;
    private State state = State.UNWRITTEN;
    private long revision;

    ClaimBatch(ClaimSegment segment, List<QueuedEntry> queuedEntries) {
        this.segment = segment;
        this.queuedEntries = List.copyOf(queuedEntries);
    }

    ClaimSegment segment() {
        return segment;
    }

    List<QueuedEntry> queuedEntries() {
        return queuedEntries;
    }

    State state() {
        return state;
    }

    long revision() {
        return revision;
    }

    void markAmbiguous() {
        state = State.AMBIGUOUS;
    }

    void markRecorded(long atRevision) {
        state = State.RECORDED;
        revision = atRevision;
    }
}
