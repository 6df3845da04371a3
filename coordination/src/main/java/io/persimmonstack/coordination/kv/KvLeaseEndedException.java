package io.persimmonstack.coordination.kv;

/** The lease of a call has ended; the call had no effect. */
public final class KvLeaseEndedException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message call and lease
     */
    public KvLeaseEndedException(String message) {
        super(message);
    }
}
