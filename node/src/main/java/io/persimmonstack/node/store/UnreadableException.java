package io.persimmonstack.node.store;

/** Signals that a stored value cannot be decoded. */
public final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message field, value and expectation
     */
    public UnreadableException(String message) {
        super(message);
    }

    /**
     * Creates the exception with the error that caused it.
     *
     * @param message what could not be decoded
     * @param cause error of the decoder
     */
    public UnreadableException(String message, Throwable cause) {
        super(message, cause);
    }
}
