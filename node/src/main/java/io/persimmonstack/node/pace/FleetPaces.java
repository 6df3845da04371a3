package io.persimmonstack.node.pace;

import io.persimmonstack.node.fleet.RunnerProcess;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Paces of all runner processes, kept by the leader from the reports of the nodes. A node is told only the paces that
 * have changed since the answer that it has taken. Callers pass the time. Thread-safe.
 */
public final class FleetPaces {
    /** Change of the logarithm of a pace from which on the nodes are told. */
    private static final double MIN_CHANGE = 0.1;
    /** Interval in which the paces are computed anew. */
    private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Time without reports after which a process is forgotten. */
    private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** Number of remembered nodes at which all are dropped, to bound the memory; each is then told all paces again. */
    private static final int MAX_NODES = 1_000;

    private final Map<RunnerProcess, Entry> entries = new HashMap<>();
    private final Map<String, Told> toldByNode = new HashMap<>();
    private final List<RunnerPace> transitions = new ArrayList<>();
    private long refreshedNanos;
    private boolean refreshed;
    private long version;

    /** What the nodes are told of one process. */
    private static final class Entry {
        private final PaceEstimate estimate;
        private double told = 1;
        private long changedVersion;

        private Entry(PaceEstimate estimate) {
            this.estimate = estimate;
        }
    }

    /** Version of the paces that an answer to a node contained. */
    private record Told(Object answer, long version) {}

    private FleetPaces() {}

    /** Returns a collection without paces. */
    public static FleetPaces create() {
        return new FleetPaces();
    }

    /** Adds the report of a node. */
    public synchronized void update(List<RunnerPace> paces, long nowNanos) {
        for (RunnerPace pace : paces) {
            entries.computeIfAbsent(
                            new RunnerProcess(pace.runner(), pace.startedMs()),
                            process -> new Entry(new PaceEstimate(nowNanos)))
                    .estimate
                    .add(pace, nowNanos);
        }
    }

    /**
     * Returns the paces that a node does not know; a process that was never mentioned has a pace of 1.
     *
     * @param node name of the node
     * @param acknowledged identifier of the last answer that the node has taken
     * @param answer identifier of the answer that will contain these paces
     * @param nowNanos monotonic time
     */
    public synchronized List<RunnerPace> changesFor(String node, Object acknowledged, Object answer, long nowNanos) {
        refresh(nowNanos);
        Told told = toldByNode.get(node);
        long known = told != null && told.answer().equals(acknowledged) ? told.version() : 0;
        if (toldByNode.size() >= MAX_NODES) {
            toldByNode.clear();
        }
        toldByNode.put(node, new Told(answer, version));
        List<RunnerPace> changes = new ArrayList<>();
        entries.forEach((process, entry) -> {
            if (entry.changedVersion > known) {
                changes.add(new RunnerPace(process.runner(), process.startedMs(), 1, entry.told));
            }
        });
        return changes;
    }

    private void refresh(long nowNanos) {
        if (refreshed && nowNanos - refreshedNanos < REFRESH_NANOS) {
            return;
        }
        refreshed = true;
        refreshedNanos = nowNanos;
        version++;
        entries.values().removeIf(entry -> nowNanos - entry.estimate.updatedNanos() > FORGET_NANOS);
        entries.forEach((process, entry) -> {
            double ratio = entry.estimate.ratio(nowNanos);
            boolean usualAgain = ratio == 1 && entry.told != 1;
            if (usualAgain || Math.abs(Math.log(ratio / entry.told)) >= MIN_CHANGE) {
                if (usualAgain || entry.told == 1) {
                    transitions.add(new RunnerPace(process.runner(), process.startedMs(), 1, ratio));
                }
                entry.told = ratio;
                entry.changedVersion = version;
            }
        });
    }

    /** Returns the processes whose pace has become unusual, or usual again, since the last call. */
    public synchronized List<RunnerPace> drainTransitions() {
        List<RunnerPace> drained = List.copyOf(transitions);
        transitions.clear();
        return drained;
    }

    /** Returns the number of processes whose pace is not the usual one. */
    public synchronized int unusualCount() {
        return (int) entries.values().stream().filter(entry -> entry.told != 1).count();
    }
}
