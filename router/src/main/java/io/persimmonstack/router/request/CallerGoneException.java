package io.persimmonstack.router.request;

/** Thrown when the caller has closed its connection or reads its answer too slowly. */
public final class CallerGoneException extends RouterException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message how this was detected
     * @param cause underlying error, or null
     */
    public CallerGoneException(String message, Throwable cause) {
        super(message, cause);
    }
}
