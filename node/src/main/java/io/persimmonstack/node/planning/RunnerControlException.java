package io.persimmonstack.node.planning;

/** A runner gave no usable answer to the planner. */
public final class RunnerControlException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message runner, and what was seen
     */
    public RunnerControlException(String message) {
        super(message);
    }

    /**
     * Creates the exception from one of a layer below.
     *
     * @param message runner, and what was seen
     * @param cause error of the layer below
     */
    public RunnerControlException(String message, Throwable cause) {
        super(message, cause);
    }
}
