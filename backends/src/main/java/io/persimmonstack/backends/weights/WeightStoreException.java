package io.persimmonstack.backends.weights;

import io.persimmonstack.backends.BackendException;

/** Thrown when the weight store returns no usable response. */
public final class WeightStoreException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address of the weight store and what it returned
     */
    public WeightStoreException(String message) {
        super(message);
    }

    /**
     * Creates the exception with a cause.
     *
     * @param message address of the weight store and what it returned
     * @param cause error that led to this one
     */
    public WeightStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
