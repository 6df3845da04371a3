package io.persimmonstack.backends.hosts;

import io.persimmonstack.backends.BackendException;

/** The host list gave no usable answer. */
public final class HostListException extends BackendException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message address and what was seen
     */
    public HostListException(String message) {
        super(message);
    }

    /**
     * Creates the exception from one of a layer below.
     *
     * @param message address and what was seen
     * @param cause error of the layer below
     */
    public HostListException(String message, Throwable cause) {
        super(message, cause);
    }
}
