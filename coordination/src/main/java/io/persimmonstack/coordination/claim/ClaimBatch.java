package io.persimmonstack.coordination.claim;

import java.util.List;

/** Segment that is being written to the log, with the queued entries to complete once its fate is known. */
final class ClaimBatch {
    /** Progress of writing the segment. */
    enum State {
        /** No attempt to create the segment has taken effect or can still do so. */
        UNWRITTEN,
        /** An attempt got no reply; it may have taken effect or may still do so. */
        AMBIGUOUS,
        /** The segment exists, but it is not known yet whether retention had already deleted its number. */
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

    /** Returns the revision at which the segment was created; valid only once it is {@link State#RECORDED}. */
    long revision() {
        return revision;
    }

    /** Records that an attempt to create the segment got no reply. */
    void markAmbiguous() {
        state = State.AMBIGUOUS;
    }

    /** Records that the segment exists, created at the given store revision. */
    void markRecorded(long atRevision) {
        state = State.RECORDED;
        revision = atRevision;
    }
}
