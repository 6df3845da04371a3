package io.persimmonstack.node.callers;

/** Signals that a request to be explained has an argument that cannot be used; the message names what was expected. */
public final class ExplainException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param argument name of the argument
     * @param value its value
     * @param expected what was expected
     */
    public ExplainException(String argument, String value, String expected) {
        super(argument + ": " + value + "; expected " + expected);
    }
}
