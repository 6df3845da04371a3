package io.persimmonstack.router.request;

/** Thrown when one attempt at a target fails before the caller has received the whole answer. */
public final class AttemptException extends RouterException {
    private static final long serialVersionUID = 1L;

    /** How an attempt failed, and whether the target may have run the request. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The deadline of the request passed before it was sent, which says nothing about the target. */
        EXPIRED,
        /** The target refused the request without running it. */
        REFUSED_BY_TARGET,
        /** The target is of another software version than the one that began the stream. */
        OTHER_VERSION,
        /** The connection broke or the answer was an error or invalid; the target may have run the request. */
        BROKEN,
        /** Nothing was received within the timeout; the target may have run the request. */
        SILENT,
        /** The deadline of the request passed after it was sent; the target may have run the request. */
        DEADLINE
    }

    private final Kind kind;

    /**
     * Creates the exception.
     *
     * @param kind how the attempt failed
     * @param message what failed, including the target
     * @param cause underlying error, or null
     */
    public AttemptException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns how the attempt failed. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether the attempt ended at the head of the answer without a failure of the target. */
    public boolean turnedAway() {
        return kind == Kind.REFUSED_BY_TARGET || kind == Kind.OTHER_VERSION;
    }

    /** Returns whether the target certainly did not run the request, so that any request may be sent again. */
    public boolean provablyNotRun() {
        return kind == Kind.NOT_SENT || kind == Kind.EXPIRED || kind == Kind.REFUSED_BY_TARGET;
    }
}
