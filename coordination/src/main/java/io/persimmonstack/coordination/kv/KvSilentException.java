package io.persimmonstack.coordination.kv;

/** Thrown when a read got no answer in time; the connection, or the service, is silent. */
public final class KvSilentException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message description of the failure
     * @param cause underlying exception
     */
    public KvSilentException(String message, Throwable cause) {
        super(message, cause);
    }
}
