package io.persimmonstack.router.request;

/** Whether a refused request ran at a target. */
public enum Ran {
    /** The request certainly did not run. */
    NO("no"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String text;

    Ran(String text) {
        this.text = text;
    }

    /** Returns the value of the field {@code ran} of the problem document. */
    public String text() {
        return text;
    }
}
