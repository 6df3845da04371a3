package io.persimmonstack.coordination.kv;

/** Precondition of a conditional write on the state of its key. */
public sealed interface Expectation {
    /** Requires that the key does not exist. */
    record Absent() implements Expectation {}

    /**
     * Requires that the key was last modified at the given revision.
     *
     * @param revision expected revision of the last modification
     */
    record AtRevision(long revision) implements Expectation {}

    /** Returns the precondition that the key does not exist. */
    static Expectation absent() {
        return new Absent();
    }

    /** Returns the precondition that the key was last modified at {@code revision}. */
    static Expectation atRevision(long revision) {
        return new AtRevision(revision);
    }
}
