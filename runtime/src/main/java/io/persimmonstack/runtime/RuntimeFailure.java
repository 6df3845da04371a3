package io.persimmonstack.runtime;

/** Base class of errors that end a program with a message on standard error and an {@link ExitCode}. */
public abstract class RuntimeFailure extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed, with the offending value and what was expected
     */
    protected RuntimeFailure(String message) {
        super(message);
    }

    /**
     * Creates the exception with the error that caused it.
     *
     * @param message what failed
     * @param cause underlying error
     */
    protected RuntimeFailure(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns the exit code of the process. */
    public abstract ExitCode exitCode();
}
