package io.persimmonstack.coordination.claim;

/**
 * Claim that holds a key in the live part of the log, with the segments that mention it.
 *
 * @param claim claim that holds the key
 * @param lastSegment number of the newest segment with an entry of this claim
 * @param outcomeSegment number of the segment that records the outcome, 0 if there is none
 */
record RecordedClaim(Claim claim, long lastSegment, long outcomeSegment) {
    boolean hasOutcome() {
        return outcomeSegment > 0;
    }
}
