package io.persimmonstack.coordination.membership;

import io.persimmonstack.coordination.CoordinationException;

/** Thrown when a member does not answer a gossip message in time. */
public final class GossipException extends CoordinationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message which member did not answer, and why
     */
    public GossipException(String message) {
        super(message);
    }

    /**
     * Creates an exception with the error of the transport as its cause.
     *
     * @param message which member did not answer, and why
     * @param cause error of the transport
     */
    public GossipException(String message, Throwable cause) {
        super(message, cause);
    }
}
