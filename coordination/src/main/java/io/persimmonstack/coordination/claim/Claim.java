package io.persimmonstack.coordination.claim;

import java.util.Objects;

/**
 * Claim of an idempotency key: asks for the exclusive right to run the request that carries the key.
 *
 * @param key caller and idempotency key, non-empty
 * @param claimant router node, incarnation and request number; non-empty and unique to one request at one router
 * @param fingerprint hash of method, path and body, which tells different requests with the same key apart
 * @param timeMs wall-clock time at the claimant in milliseconds, for information only
 */
public record Claim(String key, String claimant, String fingerprint, long timeMs) {
    /** Validates that the key and the claimant are non-empty. */
    public Claim {
        requireText("key", key);
        requireText("claimant", claimant);
        Objects.requireNonNull(fingerprint, "fingerprint");
    }

    /** Returns a claim with the given components. */
    public static Claim of(String key, String claimant, String fingerprint, long timeMs) {
        return new Claim(key, claimant, fingerprint, timeMs);
    }

    /** Returns whether the other claim was made for the same request by the same router. */
    public boolean sameClaimant(Claim other) {
        return claimant.equals(other.claimant);
    }

    private static void requireText(String argument, String value) {
        Objects.requireNonNull(value, argument);
        if (value.isEmpty()) {
            throw new IllegalArgumentException(argument + " '': expected at least one character");
        }
    }
}
