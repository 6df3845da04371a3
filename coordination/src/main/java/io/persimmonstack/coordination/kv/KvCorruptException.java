package io.persimmonstack.coordination.kv;

/** Thrown when stored data is missing, damaged or not a record of the expected type. */
public final class KvCorruptException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message description of the failure, including the key
     */
    public KvCorruptException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message description of the failure, including the key
     * @param cause underlying exception
     */
    public KvCorruptException(String message, Throwable cause) {
        super(message, cause);
    }
}
