package io.persimmonstack.backends.http;

/**
 * Longest waits of one call.
 *
 * @param connectMs until the connection is open, in milliseconds
 * @param firstByteMs until the head of the answer is there, from the start of sending, in milliseconds
 * @param progressMs between two parts of the body, in milliseconds
 */
public record HttpTimeouts(int connectMs, int firstByteMs, int progressMs) {
    /** Checks that every wait is positive. */
    public HttpTimeouts {
        requirePositive("connectMs", connectMs);
        requirePositive("firstByteMs", firstByteMs);
        requirePositive("progressMs", progressMs);
    }

    /** Returns the given waits in milliseconds. */
    public static HttpTimeouts of(int connectMs, int firstByteMs, int progressMs) {
        return new HttpTimeouts(connectMs, firstByteMs, progressMs);
    }

    private static void requirePositive(String argument, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(argument + " " + value + ": expected at least 1 ms");
        }
    }
}
