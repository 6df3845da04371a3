package io.persimmonstack.node.pace;

import io.persimmonstack.node.fleet.RunnerProcess;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/** Collects the durations of this node's answers by runner process until the next report. Thread-safe. */
public final class PaceRecorder {
    /** Durations that are kept for a process and report, to bound the memory while there is no leader. */
    private static final int MAX_DURATIONS = 64;
    /** Shortest duration that is told apart from none. */
    private static final double MIN_DURATION_MS = 0.1;
    /** Ratio from which on an answer that has not come yet counts. */
    private static final double OVERDUE_LOG_RATIO = Math.log(3);

    private static final double NANOS_PER_MS = 1e6;

    private final UsualDurations usual = new UsualDurations();
    private final Map<RunnerProcess, List<Double>> logRatios = new HashMap<>();

    private final Set<Measurement> pending = new HashSet<>();

    /** Duration that is being measured. */
    public static final class Measurement {
        private final RunnerProcess process;
        private final PaceKey key;
        private final long beganNanos;
        private boolean counted;

        private Measurement(RunnerProcess process, PaceKey key, long beganNanos) {
            this.process = process;
            this.key = key;
            this.beganNanos = beganNanos;
        }

        private double elapsedMs(long nowNanos) {
            return Math.max(MIN_DURATION_MS, (nowNanos - beganNanos) / NANOS_PER_MS);
        }
    }

    private PaceRecorder() {}

    /** Returns a recorder without durations. */
    public static PaceRecorder create() {
        return new PaceRecorder();
    }

    /**
     * Records a duration.
     *
     * @param process process that answered
     * @param key kind of the duration
     * @param durationMs duration, in milliseconds
     */
    public synchronized void record(RunnerProcess process, PaceKey key, double durationMs) {
        keep(process, usual.add(key, Math.max(MIN_DURATION_MS, durationMs)));
    }

    /**
     * Begins the measurement of a duration; it counts as slow once it is three times as long as usual.
     *
     * @param process process that has got the request
     * @param key kind of the duration
     * @param nowNanos monotonic time
     * @return the measurement, which must be ended by {@link #finish}, {@link #abandon} or
     *     {@link #cancel}
     */
    public synchronized Measurement begin(RunnerProcess process, PaceKey key, long nowNanos) {
        Measurement measurement = new Measurement(process, key, nowNanos);
        pending.add(measurement);
        return measurement;
    }

    /** Records the duration of a measurement, unless it has ended already. */
    public synchronized void finish(Measurement measurement, long nowNanos) {
        if (pending.remove(measurement)) {
            OptionalDouble logRatio = usual.add(measurement.key, measurement.elapsedMs(nowNanos));
            keep(measurement.process, measurement.counted ? OptionalDouble.empty() : logRatio);
        }
    }

    /** Ends a measurement whose answer was given up: it counts as slow if it took longer than usual by then. */
    public synchronized void abandon(Measurement measurement, long nowNanos) {
        if (pending.remove(measurement) && !measurement.counted) {
            keep(measurement.process, usual.exceeded(measurement.key, measurement.elapsedMs(nowNanos)));
        }
    }

    /** Ends a measurement without a result; no effect if it has ended already. */
    public synchronized void cancel(Measurement measurement) {
        pending.remove(measurement);
    }

    private void keep(RunnerProcess process, OptionalDouble logRatio) {
        if (logRatio.isPresent()) {
            List<Double> ofProcess = logRatios.computeIfAbsent(process, ignored -> new ArrayList<>());
            if (ofProcess.size() < MAX_DURATIONS) {
                ofProcess.add(logRatio.getAsDouble());
            }
        }
    }

    /**
     * Returns the median ratio of each process since the last call, and forgets the durations. An answer that is
     * overdue counts now, with the time that has passed, and not again when it arrives.
     */
    public synchronized List<RunnerPace> drain(long nowNanos) {
        for (Measurement measurement : pending) {
            if (measurement.counted) {
                continue;
            }
            OptionalDouble logRatio = usual.exceeded(measurement.key, measurement.elapsedMs(nowNanos));
            if (logRatio.isPresent() && logRatio.getAsDouble() > OVERDUE_LOG_RATIO) {
                measurement.counted = true;
                keep(measurement.process, logRatio);
            }
        }
        List<RunnerPace> paces = new ArrayList<>();
        logRatios.forEach((process, values) -> {
            Collections.sort(values);
            // The lower of two middle values, so that one slow answer of two does not count.
            double median = values.get((values.size() - 1) / 2);
            paces.add(new RunnerPace(process.runner(), process.startedMs(), values.size(), Math.exp(median)));
        });
        logRatios.clear();
        return paces;
    }
}
