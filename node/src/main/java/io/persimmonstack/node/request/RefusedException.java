package io.persimmonstack.node.request;

/** Signals that the node ends a request with its own answer, the {@link Refusal}. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param refusal answer to the caller
     */
    public RefusedException(Refusal refusal) {
        super(refusal.reason() + ": " + refusal.detail());
        this.refusal = refusal;
    }

    /** Returns the answer to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
