package io.persimmonstack.router.request;

/** Thrown when the router refuses a request; ends its handling. */
public final class RefusalException extends RouterException {
    private static final long serialVersionUID = 1L;
    private final transient Refusal refusal;

    RefusalException(Refusal refusal) {
        super(refusal.code().code() + ": " + refusal.detail(), null);
        this.refusal = refusal;
    }

    /** Returns the refusal to send to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
