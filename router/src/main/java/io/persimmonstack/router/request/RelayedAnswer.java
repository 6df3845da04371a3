package io.persimmonstack.router.request;

/**
 * The part of an answer that has been relayed to the caller so far.
 *
 * @param status HTTP status, 0 if no answer has begun
 * @param contentType media type
 * @param body whole body if it is small enough to be kept for retries with the same idempotency key, else empty
 * @param bodyOmitted whether the body is not kept, because it is too large, streamed or not sent yet
 * @param tokens number of tokens of a stream sent so far
 * @param complete whether the answer is complete; set for a whole answer before it is sent, so that its outcome is
 *     recorded even if the caller has left
 */
public record RelayedAnswer(
        int status, String contentType, byte[] body, boolean bodyOmitted, long tokens, boolean complete) {
    /** Size in bytes of the largest body that is kept for retries with the same idempotency key. */
    public static final int MAX_KEPT_BYTES = 16 << 10;

    private static final byte[] NO_BYTES = {};

    /** Returns the state before anything was sent. */
    public static RelayedAnswer none() {
        return new RelayedAnswer(0, "", NO_BYTES, true, 0, false);
    }

    /**
     * Returns a complete answer.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body whole body
     * @return the answer, with its body if that is small enough to be kept
     */
    public static RelayedAnswer whole(int status, String contentType, byte[] body) {
        boolean omitted = body.length > MAX_KEPT_BYTES;
        return new RelayedAnswer(status, contentType, omitted ? NO_BYTES : body, omitted, 0, true);
    }

    /**
     * Returns a streamed answer that is not complete yet.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param tokens number of tokens sent so far
     * @return the answer so far
     */
    public static RelayedAnswer stream(int status, String contentType, long tokens) {
        return new RelayedAnswer(status, contentType, NO_BYTES, true, tokens, false);
    }

    /** Returns a copy of this answer that is marked as complete. */
    public RelayedAnswer completed() {
        return new RelayedAnswer(status, contentType, body, bodyOmitted, tokens, true);
    }
}
