package io.persimmonstack.node.planning;

/** Thrown when a runner gives no usable answer to the planner. */
public final class RunnerControlException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message identifier of the runner and the reason
     */
    public RunnerControlException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message identifier of the runner and the reason
     * @param cause underlying error
     */
    public RunnerControlException(String message, Throwable cause) {
        super(message, cause);
    }
}
