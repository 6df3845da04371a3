package io.persimmonstack.backends.http;

import io.persimmonstack.backends.BackendException;

/** Thrown when an HTTP call ends without a complete response. */
public final class HttpFailure extends BackendException {
    private static final long serialVersionUID = 1L;
    private final Kind kind;
    private final boolean sent;

    /** How the call failed. */
    public enum Kind {
        /** No connection could be opened. */
        CONNECT,
        /** The connection was closed or reset by the peer or the network, or the response was malformed. */
        LOST,
        /** The response head did not arrive in time. */
        FIRST_BYTE_TIMEOUT,
        /** No further part of the response body arrived in time. */
        PROGRESS_TIMEOUT,
        /** The response carries the identifier of another request. */
        MISMATCH,
        /** The head or the body of the response exceeds its size limit. */
        TOO_LARGE,
        /** The call was cancelled, the calling thread was interrupted, or the request was no longer to be sent. */
        CANCELLED
    }

    /**
     * Creates the exception.
     *
     * @param kind how the call failed
     * @param message method, address and path of the request, and what happened
     * @param sent false only if provably no byte of the request left this process
     * @param cause underlying error, or null
     */
    public HttpFailure(Kind kind, String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.kind = kind;
        this.sent = sent;
    }

    /** Returns how the call failed. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether the server may have received the request; false only if provably no byte of it was sent. */
    public boolean sent() {
        return sent;
    }
}
