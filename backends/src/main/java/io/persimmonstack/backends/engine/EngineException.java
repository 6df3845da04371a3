package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.BackendException;

/** An engine gave no usable account of its state. */
public final class EngineException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address and what was seen
     */
    public EngineException(String message) {
        super(message);
    }

    /**
     * Creates the exception from one of a layer below.
     *
     * @param message address and what was seen
     * @param cause error of the layer below
     */
    public EngineException(String message, Throwable cause) {
        super(message, cause);
    }
}
