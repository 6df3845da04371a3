package io.persimmonstack.coordination;

/** Superclass of all checked exceptions of the coordination library. */
public abstract class CoordinationException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message description of the failure
     */
    protected CoordinationException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message description of the failure
     * @param cause underlying exception
     */
    protected CoordinationException(String message, Throwable cause) {
        super(message, cause);
    }
}
