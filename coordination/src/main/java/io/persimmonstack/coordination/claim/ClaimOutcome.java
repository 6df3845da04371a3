package io.persimmonstack.coordination.claim;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Response of a claimed request, kept to answer later requests with the same key. If the request was refused without
 * having run, the refusal is recorded as its outcome, so that later requests with the key get the same, correct
 * refusal.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body response body, empty if it was too large to keep
 */
public record ClaimOutcome(int status, String contentType, Optional<byte[]> body) {
    /** Maximum size of a body that is kept with an outcome, in bytes. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    /** Validates that the content type and the body are not null. */
    public ClaimOutcome {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns an outcome, with the body if it has at most {@link #MAX_BODY_BYTES}.
     *
     * @param status HTTP status
     * @param contentType content type of the body
     * @param body complete response body
     * @return the outcome
     */
    public static ClaimOutcome of(int status, String contentType, byte[] body) {
        Optional<byte[]> retained = body.length <= MAX_BODY_BYTES ? Optional.of(body.clone()) : Optional.empty();
        return new ClaimOutcome(status, contentType, retained);
    }

    /** Returns the size of the kept body in bytes, 0 if it was not kept. */
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
