package io.persimmonstack.router.request;

import io.persimmonstack.runtime.event.LoggedValues;
import java.util.OptionalLong;

/**
 * Error answer that the router gives to a request in place of a target's answer.
 *
 * @param code reason for the refusal
 * @param detail what was refused and why
 * @param ran whether the request ran
 * @param retryAfterMs delay in milliseconds before a retry, absent if a retry is not expected to help
 */
public record Refusal(RefusalCode code, String detail, Ran ran, OptionalLong retryAfterMs) {
    /** Shortens the detail, which quotes what the caller sent and is kept with the latest refusals. */
    public Refusal {
        detail = LoggedValues.shortened(detail);
    }

    /**
     * Returns a refusal of a request that did not run and that a retry is not expected to help.
     *
     * @param code reason for the refusal
     * @param detail what was refused and why
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String detail) {
        return new Refusal(code, detail, Ran.NO, OptionalLong.empty());
    }

    /**
     * Returns a refusal of a request that did not run, with a retry delay randomised by {@link Jitter}.
     *
     * @param code reason for the refusal
     * @param detail what was refused and why
     * @param retryAfterMs delay in milliseconds after which a retry is likely to succeed
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String detail, long retryAfterMs) {
        return new Refusal(code, detail, Ran.NO, OptionalLong.of(Jitter.spread(retryAfterMs)));
    }

    /**
     * Returns a refusal of a request that may have run.
     *
     * @param code reason for the refusal
     * @param detail what failed
     * @return the refusal
     */
    public static Refusal unknown(RefusalCode code, String detail) {
        return new Refusal(code, detail, Ran.UNKNOWN, OptionalLong.empty());
    }

    /** Returns an exception that carries this refusal. */
    public RefusalException exception() {
        return new RefusalException(this);
    }
}
