package io.persimmonstack.coordination.kv;

/** Receiver of changes below a watched prefix. */
public interface KvWatcher {
    /**
     * Reports one change.
     *
     * @param change what happened to which key
     */
    void changed(KvChange change);

    /**
     * Reports that the subscription ended and must be renewed after a fresh read.
     *
     * @param cause why it ended
     */
    void ended(KvException cause);

    /** Returns how long changes may gather before the next ones are reported, in milliseconds. */
    default int gatherMs() {
        return 0;
    }
}
