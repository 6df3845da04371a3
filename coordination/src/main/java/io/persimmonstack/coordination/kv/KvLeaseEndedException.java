package io.persimmonstack.coordination.kv;

/** Thrown when a write is bound to a lease that has expired or was revoked. The write had no effect. */
public final class KvLeaseEndedException extends KvException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message description of the failed call and its lease
     */
    public KvLeaseEndedException(String message) {
        super(message);
    }
}
