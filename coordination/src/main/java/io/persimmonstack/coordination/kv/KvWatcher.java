package io.persimmonstack.coordination.kv;

import java.util.List;

/** Callback for changes to the keys of a watched prefix. */
public interface KvWatcher {
    /** Durations for watchers that collect no changes. */
    WatchTimes DEFAULT_TIMES = WatchTimes.within(2_000, 0);

    /**
     * Called for a single change.
     *
     * @param change the change
     */
    void changed(KvChange change);

    /**
     * Called for changes that arrived together. By default calls {@link #changed(KvChange)} for each.
     *
     * @param changes changes in revision order
     */
    default void changed(List<KvChange> changes) {
        changes.forEach(this::changed);
    }

    /**
     * Called after the changes of each answer have been reported, if the store tells how current it is.
     *
     * @param nanos monotonic time; all changes that the store accepted before it have been reported
     */
    default void completeUpTo(long nanos) {}

    /**
     * Called when the watch has ended. Changes may have been missed, so the prefix must be read again before a new
     * watch.
     *
     * @param cause reason for the end of the watch
     */
    void ended(KvException cause);

    /**
     * Called when a poll got no answer in time on a new connection either and is repeated, so that the store may be
     * unavailable. Changes are late, but none is missed.
     *
     * @param cause for how long there was no answer
     */
    default void silent(KvException cause) {}

    /** Returns the durations of the next poll, for a store that is polled. */
    default WatchTimes times() {
        return DEFAULT_TIMES;
    }
}
