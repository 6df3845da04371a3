package io.persimmonstack.coordination.kv;

import java.util.List;

/** Receiver of changes below a watched prefix. */
public interface KvWatcher {
    /**
     * Reports one change.
     *
     * @param change what happened to which key
     */
    void changed(KvChange change);

    /**
     * Reports changes that came together, in order.
     *
     * @param changes what happened to which keys
     */
    default void changed(List<KvChange> changes) {
        changes.forEach(this::changed);
    }

    /**
     * Reports that the subscription ended and must be renewed after a fresh read.
     *
     * @param cause why it ended
     */
    void ended(KvException cause);

    /** Returns how long changes may gather before the next ones are reported, in milliseconds. */
    default int batchDelayMs() {
        return 0;
    }
}
