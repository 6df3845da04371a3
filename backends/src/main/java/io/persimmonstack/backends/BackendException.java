package io.persimmonstack.backends;

/** Root of the errors of the platform adapters. */
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
     * Creates the exception from one of a layer below.
     *
     * @param message what failed, with the address and what was expected
     * @param cause error of the layer below
     */
    protected BackendException(String message, Throwable cause) {
        super(message, cause);
    }
}
