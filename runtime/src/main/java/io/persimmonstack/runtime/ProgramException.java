package io.persimmonstack.runtime;

/** Thrown when a program cannot start or fails while running; the process exits with {@link ExitCode#FAILURE}. */
public final class ProgramException extends RuntimeFailure {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed, with the offending value
     */
    public ProgramException(String message) {
        super(message);
    }

    /**
     * Creates the exception with the error that caused it.
     *
     * @param message what failed, with the offending value
     * @param cause underlying error
     */
    public ProgramException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.FAILURE;
    }
}
