package io.persimmonstack.backends.hosts;

import io.persimmonstack.backends.BackendException;

/** Thrown when the host list service returns no usable response. */
public final class HostListException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address of the service and what it returned
     */
    public HostListException(String message) {
        super(message);
    }

    /**
     * Creates the exception with a cause.
     *
     * @param message address of the service and what it returned
     * @param cause error that led to this one
     */
    public HostListException(String message, Throwable cause) {
        super(message, cause);
    }
}
