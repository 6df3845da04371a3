package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.pace.RunnerPace;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the tracker of each listed runner, and passes on to it what the entries in the store, the runner itself and the
 * leader say of it. Not thread-safe; guarded by the lock of {@link Placer}.
 */
final class RunnerLoadTrackers {
    private final Map<String, RunnerLoadTracker> trackers = new HashMap<>();
    private final OutgoingVersions outgoingVersions = new OutgoingVersions();
    private final FleetView fleet;

    private RunnerLoadTrackers(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns an empty collection; {@link #update} adds the runners that the given view lists. */
    static RunnerLoadTrackers of(FleetView fleet) {
        return new RunnerLoadTrackers(fleet);
    }

    /** Returns the trackers of all runners. */
    Collection<RunnerLoadTracker> all() {
        return Collections.unmodifiableCollection(trackers.values());
    }

    /** Returns the trackers of the runners of a service. */
    Collection<RunnerLoadTracker> ofService(String service) {
        return trackers.values().stream()
                .filter(tracker -> tracker.runner().service().equals(service))
                .toList();
    }

    /** Returns the tracker of a runner process, empty if the runner is not listed or is another process by now. */
    Optional<RunnerLoadTracker> ofProcess(Runner runner) {
        return Optional.ofNullable(trackers.get(runner.id()))
                .filter(tracker -> tracker.runner().isSameProcess(runner));
    }

    /** Returns whether a tracker is that of a listed runner. */
    boolean contains(RunnerLoadTracker tracker) {
        return trackers.get(tracker.runner().id()) == tracker;
    }

    /** Follows the listed runners, their entries and the pauses that they ask for. */
    void update(long nowNanos) {
        Map<String, Runner> runners = fleet.current().runners();
        trackers.keySet().retainAll(runners.keySet());
        outgoingVersions.update(runners, nowNanos);
        for (Runner runner : runners.values()) {
            RunnerLoadTracker tracker = trackers.computeIfAbsent(runner.id(), id -> new RunnerLoadTracker(runner));
            tracker.updateRunner(runner);
            tracker.updateOutgoing(outgoingVersions.outgoingUntilNanos(runner));
            tracker.updateServesRests(fleet.leavingServesUntilNanos(runner));
            fleet.quietUntilNanos(runner, nowNanos).ifPresent(tracker::pauseUntil);
        }
    }

    /** Applies the leader's snapshots of changed runners; returns whether this node knows all these processes. */
    boolean applySnapshots(List<RunnerSnapshot> snapshots, long nowNanos) {
        boolean allApplied = true;
        trackers.values().forEach(tracker -> tracker.memoryClaim().answered());
        for (RunnerSnapshot snapshot : snapshots) {
            RunnerLoadTracker tracker = trackers.get(snapshot.runner());
            if (tracker != null && tracker.runner().startedMs() == snapshot.startedMs()) {
                tracker.applySnapshot(snapshot);
                tracker.elsewhere().observe(nowNanos);
            } else {
                allApplied = false;
                markReplaced(tracker, snapshot);
            }
        }
        return allApplied;
    }

    /** Avoids a runner of which the leader knows a later process than this node. */
    private static void markReplaced(RunnerLoadTracker tracker, RunnerSnapshot snapshot) {
        if (tracker != null && tracker.runner().startedMs() < snapshot.startedMs()) {
            tracker.markReplaced();
        }
    }

    /** Discards the leader's snapshots of all runners. */
    void discardSnapshots() {
        trackers.values().forEach(RunnerLoadTracker::discardSnapshot);
    }

    /**
     * Applies the leader's paces of runner processes.
     *
     * @param paces paces that have changed, or all that are not 1
     * @param all whether all other runners have a pace of 1
     */
    void applyPaces(List<RunnerPace> paces, boolean all) {
        if (all) {
            trackers.values().forEach(tracker -> tracker.updatePace(1));
        }
        for (RunnerPace pace : paces) {
            RunnerLoadTracker tracker = trackers.get(pace.runner());
            if (tracker != null && tracker.runner().startedMs() == pace.startedMs()) {
                tracker.updatePace(pace.ratio());
            }
        }
    }
}
