package io.persimmonstack.node.fleet;

import io.persimmonstack.coordination.BoundedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What runner processes have said about themselves: that they are shutting down, or until when they want no requests
 * from this node. A later process of the same runner starts without either. The caller supplies the time. Thread-safe.
 */
final class RunnerNotices {
    /** Longest pause that a runner can ask for; no caller waits longer for an answer. */
    static final long MAX_QUIET_MS = 30_000;
    /** Number of remembered processes that are shutting down; the oldest are dropped beyond it. */
    private static final int MAX_LEAVING = 4_096;

    private final Map<RunnerProcess, Long> leavingSinceNanos = BoundedMap.droppingFirstAdded(MAX_LEAVING);

    private final Map<RunnerProcess, Long> quietUntilNanos = new HashMap<>();

    private RunnerNotices() {}

    /** Returns a collection without any notices. */
    static RunnerNotices create() {
        return new RunnerNotices();
    }

    /** Records that a process is shutting down; returns whether this is new. */
    synchronized boolean recordLeaving(RunnerProcess process, long nowNanos) {
        return leavingSinceNanos.putIfAbsent(process, nowNanos) == null;
    }

    /**
     * Records that a process wants no requests for a while. A pause longer than {@link #MAX_QUIET_MS} is shortened to
     * it, and one that ends before the pause in force changes nothing.
     *
     * @param process process that asked for it
     * @param quietMs length of the pause, in milliseconds
     * @param nowNanos monotonic time
     */
    synchronized void recordQuiet(RunnerProcess process, long quietMs, long nowNanos) {
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(quietMs, MAX_QUIET_MS));
        quietUntilNanos.values().removeIf(until -> !isLater(until, nowNanos));
        quietUntilNanos.merge(process, untilNanos, (one, other) -> isLater(one, other) ? one : other);
    }

    /** Returns whether one time of the monotonic clock, which may overflow, is later than another. */
    private static boolean isLater(long oneNanos, long otherNanos) {
        return oneNanos - otherNanos > 0;
    }

    /** Returns the processes that are shutting down by their own word. */
    synchronized Set<RunnerProcess> leaving() {
        return Set.copyOf(leavingSinceNanos.keySet());
    }

    /** Returns the end of the pause that a process asked for, by the monotonic clock; empty if there is none. */
    synchronized OptionalLong quietUntilNanos(RunnerProcess process, long nowNanos) {
        Long untilNanos = quietUntilNanos.get(process);
        return untilNanos != null && isLater(untilNanos, nowNanos) ? OptionalLong.of(untilNanos) : OptionalLong.empty();
    }

    /** Returns the number of processes that want no requests now. */
    synchronized int quietCount(long nowNanos) {
        return (int) quietUntilNanos.values().stream()
                .filter(until -> isLater(until, nowNanos))
                .count();
    }

    /** Returns why nothing may be sent to a process, with the age of its notice; empty if requests may be sent. */
    synchronized Optional<String> withholdReason(RunnerProcess process, long nowNanos) {
        Long sinceNanos = leavingSinceNanos.get(process);
        if (sinceNanos != null) {
            return Optional.of(
                    "said to be leaving " + TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos) + " ms ago");
        }
        return quietReason(process, nowNanos);
    }

    /** Returns the pause that a process asked for, with what is left of it; empty if there is none. */
    synchronized Optional<String> quietReason(RunnerProcess process, long nowNanos) {
        OptionalLong untilNanos = quietUntilNanos(process, nowNanos);
        return untilNanos.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        "quiet for " + TimeUnit.NANOSECONDS.toMillis(untilNanos.getAsLong() - nowNanos) + " ms more");
    }
}
