package io.persimmonstack.runtime.command;

import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.RuntimeFailure;

/** Thrown when the command line is invalid; the message names the argument, its value and the expectation. */
public final class UsageException extends RuntimeFailure {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message argument, offending value and what was expected
     */
    public UsageException(String message) {
        super(message);
    }

    /**
     * Creates the exception with the error that caused it.
     *
     * @param message argument, offending value and what was expected
     * @param cause underlying error
     */
    public UsageException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.USAGE;
    }
}
