package io.persimmonstack.node.fleet;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Holds the current {@link Fleet} snapshot, which each update replaces. Thread-safe; reads take no lock. */
public final class FleetView {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(FleetView.class));
    private final AtomicReference<Fleet> current = new AtomicReference<>(Fleet.unknown());
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    private final AtomicInteger maxPeersSeen = new AtomicInteger();
    private volatile Set<String> silentNodes = Set.of();

    private volatile long routingCompleteUpToNanos;
    private volatile OptionalLong runnersCompleteUpToNanos = OptionalLong.empty();
    private final ClockGaps clockGaps = new ClockGaps();

    private final RunnerNotices notices = RunnerNotices.create();
    private final LeavingRunners leavingRunners;

    private FleetView(LeavingRunners leavingRunners) {
        this.leavingRunners = leavingRunners;
    }

    /** Returns a view that holds {@link Fleet#unknown()} and in which leaving runners take nothing. */
    public static FleetView create() {
        return create(OptionalLong.empty());
    }

    /**
     * Returns a view that holds {@link Fleet#unknown()}.
     *
     * @param leavingServesMs time for which a runner serves after the store has accepted that it leaves, in
     *     milliseconds; empty if it is not known
     */
    public static FleetView create(OptionalLong leavingServesMs) {
        return new FleetView(LeavingRunners.of(leavingServesMs));
    }

    /** Returns the current snapshot. */
    public Fleet current() {
        return current.get();
    }

    /**
     * Replaces the snapshot and notifies the listeners on the calling thread.
     *
     * @param change computes the new snapshot from the current one; it must be pure and short
     */
    public void update(UnaryOperator<Fleet> change) {
        Fleet updated = replace(change);
        maxPeersSeen.accumulateAndGet(updated.peers().size(), Math::max);
        listeners.forEach(Runnable::run);
    }

    /** Replaces the snapshot; which runners have begun to leave is recorded before anyone can see it. */
    private synchronized Fleet replace(UnaryOperator<Fleet> change) {
        Fleet before = current.get();
        Fleet updated = change.apply(before).withLeaving(notices.leaving());
        leavingRunners.recordChange(before.runners(), updated.runners());
        current.set(updated);
        return updated;
    }

    /** Records that the configuration of the snapshot is the newest that the store accepted before a monotonic time. */
    public void recordRoutingCompleteUpTo(long nanos) {
        clockGaps.sample();
        routingCompleteUpToNanos = nanos;
    }

    /**
     * Returns for how long newer configurations may have been in the store unnoticed, in milliseconds, including times
     * in which this machine was frozen.
     */
    public long routingUnconfirmedMs(long nowNanos) {
        clockGaps.sample();
        return unconfirmedMs(routingCompleteUpToNanos, nowNanos);
    }

    /**
     * Returns for how long the runners may have changed in the store unnoticed, in milliseconds, as
     * {@link #routingUnconfirmedMs}; empty until they have been read.
     */
    public OptionalLong runnersUnconfirmedMs(long nowNanos) {
        clockGaps.sample();
        OptionalLong completeUpToNanos = runnersCompleteUpToNanos;
        return completeUpToNanos.isPresent()
                ? OptionalLong.of(unconfirmedMs(completeUpToNanos.getAsLong(), nowNanos))
                : OptionalLong.empty();
    }

    private long unconfirmedMs(long completeUpToNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - completeUpToNanos) + clockGaps.missedMsSince(completeUpToNanos);
    }

    /** Records that the runners of the snapshot reflect all that the store accepted before a monotonic time. */
    public void recordRunnersCompleteUpTo(long nanos) {
        clockGaps.sample();
        runnersCompleteUpToNanos = OptionalLong.of(nanos);
        leavingRunners.recordCompleteUpTo(nanos);
    }

    /** Records that the runners of the snapshot may lack changes of an unknown age, as after an outage of the store. */
    public void recordRunnersIncomplete() {
        leavingRunners.recordIncomplete();
    }

    /**
     * Returns until when a leaving runner may be sent the rest of a stream, by the monotonic clock; empty if it takes
     * nothing.
     */
    public OptionalLong leavingServesUntilNanos(Runner runner) {
        return leavingRunners.untilNanos(runner.process());
    }

    /** Returns the highest number of nodes listed at one time; nodes that are no longer listed may still be running. */
    public int maxPeersSeen() {
        return maxPeersSeen.get();
    }

    /** Returns the names of listed nodes that do not respond. */
    public Set<String> silentNodes() {
        return silentNodes;
    }

    /** Replaces the names of listed nodes that do not respond. */
    public void updateSilentNodes(Set<String> nodes) {
        silentNodes = Set.copyOf(nodes);
    }

    /**
     * Records what a runner said about itself in an answer. One that is shutting down by its own word counts as leaving
     * until another process takes its identifier, whatever its entry in the store says.
     *
     * @param runner process that answered
     * @param notice what it said
     */
    public void recordNotice(Runner runner, RunnerNotice notice) {
        notice.unreadable().ifPresent(value -> LOG.write(NodeEvent.NOTICE_UNREADABLE, runner.id(), value));
        notice.quietMs().ifPresent(quietMs -> recordQuiet(runner, quietMs));
        if (notice.leaving()) {
            recordLeaving(List.of(runner.process()), "own answer");
        }
    }

    private void recordQuiet(Runner runner, long quietMs) {
        notices.recordQuiet(runner.process(), quietMs, System.nanoTime());
        LOG.write(NodeEvent.RUNNER_QUIET, runner.id(), quietMs);
        listeners.forEach(Runnable::run);
    }

    /**
     * Records that runner processes are shutting down by their own word.
     *
     * @param processes the processes
     * @param source where this node heard of it, for the log
     */
    public void recordLeaving(Collection<RunnerProcess> processes, String source) {
        long nowNanos = System.nanoTime();
        List<RunnerProcess> added = processes.stream()
                .filter(process -> notices.recordLeaving(process, nowNanos))
                .toList();
        if (added.isEmpty()) {
            return;
        }
        added.forEach(
                process -> LOG.write(NodeEvent.RUNNER_SAYS_LEAVING, process.runner(), process.startedMs(), source));
        update(fleet -> fleet);
    }

    /** Returns the listed processes that are shutting down by their own word. */
    public List<RunnerProcess> leavingByOwnWord() {
        Set<RunnerProcess> leaving = notices.leaving();
        if (leaving.isEmpty()) {
            return List.of();
        }
        return current().runners().values().stream()
                .map(Runner::process)
                .filter(leaving::contains)
                .toList();
    }

    /** Returns until when a runner wants no requests from this node, by the monotonic clock; empty if it takes them. */
    public OptionalLong quietUntilNanos(Runner runner, long nowNanos) {
        return notices.quietUntilNanos(runner.process(), nowNanos);
    }

    /** Returns the number of runner processes that want no requests from this node now. */
    public int quietCount(long nowNanos) {
        return notices.quietCount(nowNanos);
    }

    /**
     * Returns why, by its own word, a request may not be sent to a runner now; empty if it may. A runner that was known
     * to be leaving when it was chosen was chosen for the rest of a stream.
     *
     * @param runner runner as it was known when it was chosen
     * @param nowNanos monotonic time
     */
    public Optional<String> withholdReason(Runner runner, long nowNanos) {
        if (!runner.leaving()) {
            return notices.withholdReason(runner.process(), nowNanos);
        }
        OptionalLong untilNanos = leavingServesUntilNanos(runner);
        return untilNanos.isPresent() && untilNanos.getAsLong() - nowNanos > 0
                ? notices.quietReason(runner.process(), nowNanos)
                : Optional.of("leaving, too late for the rest of a stream");
    }

    /** Adds an action that runs after each update on the updating thread; it must not block. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }
}
