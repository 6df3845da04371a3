package io.persimmonstack.runtime;

/** Ends the process after an error that leaves it in an unknown state, such as an exhausted heap. */
public final class FatalErrors {
    private FatalErrors() {}

    /** Ends the process at once, without closing anything. Declared to return so that callers can throw the result. */
    public static Error end(VirtualMachineError error) {
        Runtime.getRuntime().halt(ExitCode.FAILURE.code());
        return error;
    }
}
