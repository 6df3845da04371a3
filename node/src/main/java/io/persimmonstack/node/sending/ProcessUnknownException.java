package io.persimmonstack.node.sending;

/** Thrown when a runner does not tell which of its processes is at the other end of a connection. */
public final class ProcessUnknownException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a cause.
     *
     * @param message identifier of the runner and the reason
     * @param cause underlying error
     */
    public ProcessUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
