package io.persimmonstack.router.request;

/** Base class of the exceptions that end an attempt or the handling of a request. */
public abstract class RouterException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed
     * @param cause underlying error, or null
     */
    protected RouterException(String message, Throwable cause) {
        super(message, cause);
    }
}
