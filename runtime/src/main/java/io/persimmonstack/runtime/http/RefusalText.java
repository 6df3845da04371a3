package io.persimmonstack.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What a client is told whose input is refused.
 *
 * @param status HTTP status
 * @param contentType type of the body
 * @param retryAfter value of {@code Retry-After}, if the client may try again
 * @param body body of the answer
 */
public record RefusalText(int status, String contentType, Optional<String> retryAfter, byte[] body) {
    /** Time after which memory is likely to be free, in seconds: reservations without progress end within a few. */
    private static final String RETRY_AFTER = "1.00";

    /** Returns an answer with the reason as text; empty if the connection is to be closed without an answer. */
    public static Optional<RefusalText> plain(InputRefusal refusal) {
        if (refusal.status() == 0) {
            return Optional.empty();
        }
        return Optional.of(new RefusalText(
                refusal.status(),
                "text/plain",
                refusal == InputRefusal.MEMORY ? Optional.of(RETRY_AFTER) : Optional.empty(),
                (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
