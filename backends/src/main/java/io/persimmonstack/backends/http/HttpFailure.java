package io.persimmonstack.backends.http;

import io.persimmonstack.backends.BackendException;

/** A call brought no complete answer. */
public final class HttpFailure extends BackendException {
    private static final long serialVersionUID = 1L;
    private final Kind kind;
    private final boolean sent;

    /** What went wrong. */
    public enum Kind {
        /** No connection could be opened. */
        CONNECT,
        /** The connection was closed or reset by the other side or the network. */
        LOST,
        /** The head of the answer did not arrive in time. */
        FIRST_BYTE_TIMEOUT,
        /** The body stopped arriving. */
        PROGRESS_TIMEOUT,
        /** The answer bears another request's identifier. */
        MISMATCH,
        /** The head or the body is larger than accepted. */
        TOO_LARGE,
        /** The caller cancelled the call or its thread was interrupted. */
        CANCELLED
    }

    /**
     * Creates the exception.
     *
     * @param kind what went wrong
     * @param message method, address and path, and what was seen
     * @param sent false only if provably no byte of the request left this process
     * @param cause error of the layer below, or null
     */
    public HttpFailure(Kind kind, String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.kind = kind;
        this.sent = sent;
    }

    /** Returns what went wrong. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether the other side may have received the request; false only if provably no byte of it left. */
    public boolean sent() {
        return sent;
    }
}
