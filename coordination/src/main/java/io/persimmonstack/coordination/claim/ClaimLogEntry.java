package io.persimmonstack.coordination.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * Entry of the claim log: a claim, or the outcome of an earlier claim.
 *
 * @param claim the claim
 * @param outcome outcome of the claimed request; empty if this entry records the claim itself
 */
public record ClaimLogEntry(Claim claim, Optional<ClaimOutcome> outcome) {
    /** Validates that no component is null. */
    public ClaimLogEntry {
        Objects.requireNonNull(claim, "claim");
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns the entry that records a claim. */
    public static ClaimLogEntry claimed(Claim claim) {
        return new ClaimLogEntry(claim, Optional.empty());
    }

    /** Returns the entry that records the outcome of a claim. */
    public static ClaimLogEntry settled(Claim claim, ClaimOutcome outcome) {
        return new ClaimLogEntry(claim, Optional.of(outcome));
    }
}
