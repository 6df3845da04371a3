package io.persimmonstack.wire;

import java.util.Optional;

/**
 * Thrown when a call to another process of the system returns no answer or is refused, or when a server cannot bind its
 * address.
 */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether the other process may have executed the failed call. */
    public enum Progress {
        /** No byte of the call was sent; it is safe to retry. */
        NOT_SENT,
        /** The call may have been executed. */
        UNKNOWN,
        /** The other process refused the call with a code. */
        REFUSED
    }

    private final Progress progress;
    private final String refusalCode;

    private WireException(String message, Throwable cause, Progress progress, String refusalCode) {
        super(message, cause);
        this.progress = progress;
        this.refusalCode = refusalCode;
    }

    /** Returns the exception for a call that was never sent, or a server that was not started. */
    static WireException notSent(String message, Throwable cause) {
        return new WireException(message, cause, Progress.NOT_SENT, null);
    }

    /** Returns the exception for a call that got no answer and may have been executed. */
    static WireException unknown(String message, Throwable cause) {
        return new WireException(message, cause, Progress.UNKNOWN, null);
    }

    /** Returns the exception for a call that the other process refused with the given code. */
    static WireException refused(String message, Throwable cause, String refusalCode) {
        return new WireException(message, cause, Progress.REFUSED, refusalCode);
    }

    /** Returns whether the other process may have executed the call. */
    public Progress progress() {
        return progress;
    }

    /** Returns the refusal code, present exactly if {@link #progress()} is {@link Progress#REFUSED}. */
    public Optional<String> refusalCode() {
        return Optional.ofNullable(refusalCode);
    }
}
