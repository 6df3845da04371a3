package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.BackendException;

/** Thrown when an engine does not return a usable state. */
public final class EngineException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address of the engine and what it returned
     */
    public EngineException(String message) {
        super(message);
    }

    /**
     * Creates the exception with a cause.
     *
     * @param message address of the engine and what it returned
     * @param cause error that led to this one
     */
    public EngineException(String message, Throwable cause) {
        super(message, cause);
    }
}
