package io.persimmonstack.node.fleet;

import io.persimmonstack.coordination.BoundedMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides until when a runner process that is shutting down may still be sent the rest of a stream. Such a process
 * serves for a while after the store has accepted that it leaves. A node hears of it later, so the time counts from the
 * last moment up to which the node had read the store completely and the process did not leave. Where that moment is
 * not known, or the entry of the process was gone since, the process takes nothing. The caller supplies the monotonic
 * time. Thread-safe.
 */
final class LeavingRunners {
    /** Share of the serving time in which requests may be sent; in the rest of it they reach the runner. */
    private static final double USABLE_SHARE = 0.5;
    /** Number of remembered processes; the oldest are dropped beyond it. */
    private static final int MAX_PROCESSES = 4_096;

    private final OptionalLong usableNanos;
    private OptionalLong completeUpToNanos = OptionalLong.empty();

    /** Ends of the times of processes that are leaving or gone; empty for those that take nothing. */
    private final Map<RunnerProcess, OptionalLong> untilNanos = BoundedMap.droppingFirstAdded(MAX_PROCESSES);

    private LeavingRunners(OptionalLong usableNanos) {
        this.usableNanos = usableNanos;
    }

    /**
     * Returns an instance that knows of no leaving runner.
     *
     * @param servingMs time for which a runner serves after the store has accepted that it leaves, in milliseconds;
     *     empty if it is not known, so that leaving runners take nothing
     */
    static LeavingRunners of(OptionalLong servingMs) {
        return new LeavingRunners(
                servingMs.isPresent()
                        ? OptionalLong.of(
                                Math.round(USABLE_SHARE * TimeUnit.MILLISECONDS.toNanos(servingMs.getAsLong())))
                        : OptionalLong.empty());
    }

    /** Records that the listed runners reflect all that the store accepted before a time. */
    synchronized void recordCompleteUpTo(long nanos) {
        completeUpToNanos = OptionalLong.of(nanos);
    }

    /** Records that the listed runners may lack changes of an unknown age, as after an outage of the store. */
    synchronized void recordIncomplete() {
        completeUpToNanos = OptionalLong.empty();
    }

    /**
     * Records which processes have begun to leave, or are gone, from one list of the runners to the next. What was
     * first recorded of a process stays, except that one which is gone takes nothing even if its entry comes back.
     *
     * @param before runners by identifier, as listed before
     * @param now runners by identifier, as listed now
     */
    synchronized void recordChange(Map<String, Runner> before, Map<String, Runner> now) {
        if (before == now) {
            return;
        }
        for (Runner runner : now.values()) {
            if (runner.leaving()) {
                boolean stayedBefore =
                        isListed(runner, before) && !before.get(runner.id()).leaving();
                untilNanos.putIfAbsent(runner.process(), stayedBefore ? endOfTime() : OptionalLong.empty());
            }
        }
        before.values().stream()
                .filter(runner -> !isListed(runner, now))
                .forEach(gone -> untilNanos.put(gone.process(), OptionalLong.empty()));
    }

    private static boolean isListed(Runner runner, Map<String, Runner> listed) {
        Runner entry = listed.get(runner.id());
        return entry != null && entry.isSameProcess(runner);
    }

    private OptionalLong endOfTime() {
        return usableNanos.isPresent() && completeUpToNanos.isPresent()
                ? OptionalLong.of(completeUpToNanos.getAsLong() + usableNanos.getAsLong())
                : OptionalLong.empty();
    }

    /** Returns until when a leaving process may be sent the rest of a stream; empty if it takes nothing. */
    synchronized OptionalLong untilNanos(RunnerProcess process) {
        return untilNanos.getOrDefault(process, OptionalLong.empty());
    }
}
