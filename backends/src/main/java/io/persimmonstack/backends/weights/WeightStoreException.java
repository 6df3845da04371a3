package io.persimmonstack.backends.weights;

import io.persimmonstack.backends.BackendException;

/** The weight store gave no usable answer. */
public final class WeightStoreException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address and what was seen
     */
    public WeightStoreException(String message) {
        super(message);
    }

    /**
     * Creates the exception from one of a layer below.
     *
     * @param message address and what was seen
     * @param cause error of the layer below
     */
    public WeightStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
