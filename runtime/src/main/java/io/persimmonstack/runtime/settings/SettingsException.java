package io.persimmonstack.runtime.settings;

import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.RuntimeFailure;

/** Thrown when settings are invalid; the message names file, key, value and expectation. */
public final class SettingsException extends RuntimeFailure {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message file or key, offending value, and what was expected
     */
    public SettingsException(String message) {
        super(message);
    }

    /**
     * Creates the exception with the error that caused it.
     *
     * @param message file or key, offending value, and what was expected
     * @param cause underlying error
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.USAGE;
    }
}
