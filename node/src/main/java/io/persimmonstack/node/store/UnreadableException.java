package io.persimmonstack.node.store;

/** A stored value has not the form that was expected. */
public final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message field, value and what was expected
     */
    public UnreadableException(String message) {
        super(message);
    }

    /**
     * Creates the exception from one of a layer below.
     *
     * @param message what was read
     * @param cause error of the layer below
     */
    public UnreadableException(String message, Throwable cause) {
        super(message, cause);
    }
}
