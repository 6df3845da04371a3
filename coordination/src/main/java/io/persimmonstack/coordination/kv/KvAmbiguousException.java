package io.persimmonstack.coordination.kv;

/**
 * Thrown when the outcome of a write is unknown: it may have taken effect, or may still do so. Only a read can tell.
 */
public final class KvAmbiguousException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message description of the failure, including the key
     */
    public KvAmbiguousException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message description of the failure, including the key
     * @param cause underlying exception
     */
    public KvAmbiguousException(String message, Throwable cause) {
        super(message, cause);
    }
}
