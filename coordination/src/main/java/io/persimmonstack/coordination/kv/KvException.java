package io.persimmonstack.coordination.kv;

import io.persimmonstack.coordination.CoordinationException;

/** Thrown when a call to the key-value service fails or returns an unusable response. */
public abstract class KvException extends CoordinationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message description of the failure, including the key
     */
    public KvException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message description of the failure, including the key
     * @param cause underlying exception
     */
    public KvException(String message, Throwable cause) {
        super(message, cause);
    }
}
