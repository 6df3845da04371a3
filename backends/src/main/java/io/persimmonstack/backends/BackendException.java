package io.persimmonstack.backends;

/** Base class of the checked exceptions that the clients of the platform's services throw. */
public abstract class BackendException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed, with the address and what was expected
     */
    protected BackendException(String message) {
        super(message);
    }

    /**
     * Creates the exception with a cause.
     *
     * @param message what failed, with the address and what was expected
     * @param cause error that led to this one
     */
    protected BackendException(String message, Throwable cause) {
        super(message, cause);
    }
}
