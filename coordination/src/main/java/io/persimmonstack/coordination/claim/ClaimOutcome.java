package io.persimmonstack.coordination.claim;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Answer that a claimed request got, kept for later uses of its key. A claimant that never ran its request records its
 * refusal, so that later uses of the key get the same truthful refusal.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the body, empty where it was too large to keep
 */
public record ClaimOutcome(int status, String contentType, Optional<byte[]> body) {
    /** Largest body that is kept with an outcome. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    /** Checks that the values are present. */
    public ClaimOutcome {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns an outcome that keeps the body where it is small enough.
     *
     * @param status HTTP status
     * @param contentType content type of the body
     * @param body the whole body
     * @return the outcome
     */
    public static ClaimOutcome of(int status, String contentType, byte[] body) {
        Optional<byte[]> retained = body.length <= MAX_BODY_BYTES ? Optional.of(body.clone()) : Optional.empty();
        return new ClaimOutcome(status, contentType, retained);
    }

    /** Returns the number of bytes of the body that are kept. */
    public int bodyBytes() {
        return body.map(retained -> retained.length).orElse(0);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClaimOutcome outcome
                && status == outcome.status
                && contentType.equals(outcome.contentType)
                && Arrays.equals(body.orElse(null), outcome.body.orElse(null));
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, Arrays.hashCode(body.orElse(null)));
    }
}
