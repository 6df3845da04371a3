package io.persimmonstack.coordination.claim;

/**
 * Holder of a key, without the answer that its request got.
 *
 * @param claim the claim that holds the key
 * @param segment newest segment that names the key
 * @param outcomeSegment segment that records the outcome, 0 where none is known
 */
record RecordedClaim(Claim claim, long lastSegment, long outcomeSegment) {
    boolean hasOutcome() {
        return outcomeSegment > 0;
    }
}
