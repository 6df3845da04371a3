package io.persimmonstack.runtime.http;

/**
 * Limits of the requests that a listener accepts.
 *
 * @param maxHeaderBytes largest sum of the headers of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMs longest time from the first byte of a head to its end, in milliseconds
 * @param idleTimeoutMs time after which a connection without a request, or a body without a byte, is closed, in
 *     milliseconds
 */
public record InputLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    private static final InputLimits DEFAULTS = new InputLimits(64 * 1024, 8 << 20, 15_000, 60_000);

    /** Checks that each limit is positive. */
    public InputLimits {
        checkPositive("max_header_bytes", maxHeaderBytes);
        checkPositive("max_body_bytes", maxBodyBytes);
        checkPositive("header_timeout_ms", headerTimeoutMs);
        checkPositive("idle_timeout_ms", idleTimeoutMs);
    }

    /** Returns the limits that apply where the configuration has none, or is not known yet. */
    public static InputLimits defaults() {
        return DEFAULTS;
    }

    private static void checkPositive(String name, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + ": " + value + "; expected a number above 0");
        }
    }
}
