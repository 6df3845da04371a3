package io.persimmonstack.backends.http;

/**
 * Timeouts of one HTTP call.
 *
 * @param connectMs timeout for opening the connection, in milliseconds
 * @param firstByteMs timeout from starting to send the request until the response head has arrived, in milliseconds
 * @param progressMs timeout between two parts of the response body, in milliseconds
 */
public record HttpTimeouts(int connectMs, int firstByteMs, int progressMs) {
    /** Rejects timeouts that are not positive. */
    public HttpTimeouts {
        requirePositive("connectMs", connectMs);
        requirePositive("firstByteMs", firstByteMs);
        requirePositive("progressMs", progressMs);
    }

    /** Returns the given timeouts, all in milliseconds. */
    public static HttpTimeouts of(int connectMs, int firstByteMs, int progressMs) {
        return new HttpTimeouts(connectMs, firstByteMs, progressMs);
    }

    private static void requirePositive(String argument, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(argument + " " + value + ": expected at least 1 ms");
        }
    }
}
