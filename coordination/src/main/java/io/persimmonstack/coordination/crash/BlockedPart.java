package io.persimmonstack.coordination.crash;

/**
 * Part of a prompt for which a request is not sent.
 *
 * @param part identifier of the part
 * @param ends number of processes that ended under it
 * @param untilTrialMs time until a single request with it may be tried, in milliseconds
 */
public record BlockedPart(String part, int ends, long untilTrialMs) {
    /** Returns why such requests are refused, for the log and the caller. */
    public String detail() {
        return ends + " runners ended while requests with part " + part
                + " of their prompts waited for the beginning of their answers";
    }

    /** Returns the mean time after which callers may retry, in milliseconds. */
    public long retryAfterMs() {
        return Math.max(PartGuard.FIRST_TRIAL_AFTER_MS, untilTrialMs);
    }
}
