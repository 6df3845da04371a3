package io.persimmonstack.coordination.kv;

/** Thrown when a call had no effect because it was not sent or the service refused it. */
public final class KvUnavailableException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message description of the failure, including the key
     */
    public KvUnavailableException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message description of the failure, including the key
     * @param cause underlying exception
     */
    public KvUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
