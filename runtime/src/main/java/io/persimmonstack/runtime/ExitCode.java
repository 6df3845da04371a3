package io.persimmonstack.runtime;

/** Exit codes that all programs share. */
public enum ExitCode {
    /** The command succeeded, or the program stopped gracefully. */
    OK(0),
    /** The program could not start or failed while running. */
    FAILURE(1),
    /** The command line or the settings are invalid. */
    USAGE(2);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
