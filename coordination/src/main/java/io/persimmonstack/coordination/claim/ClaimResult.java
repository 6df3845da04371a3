package io.persimmonstack.coordination.claim;

/** Result of a claim. Only {@link Claimed} permits the request to run. */
public sealed interface ClaimResult {
    /**
     * Only this claimant may run the request, once, and only if the deadline has not passed by the claimant's own clock
     * when it receives this result.
     *
     * @param claim claim as recorded in the log
     */
    record Claimed(Claim claim) implements ClaimResult {}

    /**
     * The key is held by another claim whose outcome is not known.
     *
     * @param existing claim that holds the key
     */
    record AlreadyClaimed(Claim existing) implements ClaimResult {}

    /**
     * The key is held by a claim whose outcome is known.
     *
     * @param existing claim that holds the key
     * @param outcome outcome of the claimed request
     */
    record AlreadyDone(Claim existing, ClaimOutcome outcome) implements ClaimResult {}

    /**
     * The key is held by a claim for a different request.
     *
     * @param existing claim that holds the key
     */
    record FingerprintDiffers(Claim existing) implements ClaimResult {}

    /**
     * The claim is not in the log and will never be written to it. The request must not run.
     *
     * @param reason why the claim could not be recorded
     */
    record NotClaimed(String reason) implements ClaimResult {}

    /**
     * The claim may have been recorded, or may still be, but was not confirmed before its deadline. The request must
     * not run, so the caller can truthfully be told that it did not run; a later request with the key may find it held.
     *
     * @param reason why the claim could not be confirmed
     */
    record Unsettled(String reason) implements ClaimResult {}
}
