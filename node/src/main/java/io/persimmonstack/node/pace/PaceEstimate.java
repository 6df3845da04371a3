package io.persimmonstack.node.pace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Pace of one runner process, from the reports of all nodes: a lasting part, which follows the median slowly and is
 * kept while there are no answers, and a passing one, the median of the last half second, which is left when good
 * answers come or none do. Callers pass the time. Not thread-safe.
 */
final class PaceEstimate {
    /**
     * Age up to which reports count for the passing part. Reports are up to 250 ms old when they arrive, and reach the
     * other nodes 250 ms later, so that a runner that was slow is used again a second later at the latest.
     */
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Answers of usual duration that are assumed beside the reported ones, so that two slow answers have no effect. */
    private static final int ASSUMED_ANSWERS = 2;
    /** Most answers of one node that count in a report: they may all belong to the same few streams. */
    private static final int MAX_ANSWERS_OF_REPORT = 3;
    /** Smallest passing change that counts: a factor of 1.5. Durations of equal runners vary by less than that. */
    private static final double MIN_PASSING = Math.log(1.5);
    /** Smallest lasting difference that counts, so that runners that are alike have the same pace. */
    private static final double MIN_LASTING = 0.15;

    /** Change of the lasting part in a second: a runner of 0.6 times the usual speed is known after ten seconds. */
    private static final double LASTING_PER_SECOND = 0.05;
    /** Change during a passing one, so that a runner which is 5 times slower for 6.5 s is not avoided afterwards. */
    private static final double LASTING_PER_SECOND_WHILE_PASSING = 0.0125;

    /** Deviation from which on a report counts as one of a passing change, a factor of 2. */
    private static final double MAX_LASTING_DEVIATION = Math.log(2);

    /** Longest time for which a change is assumed to go on without answers. */
    private static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Time that a change must have lasted to be assumed to go on: one of half a second is left at once. */
    private static final long MIN_LASTED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Longest time since the last report for which the lasting part is changed at once. */
    private static final double MAX_STEP_SECONDS = 1;
    /** Largest deviation that counts, a factor of 8. */
    private static final double MAX_LOG = Math.log(8);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<Report> reports = new ArrayDeque<>();
    private double lasting;
    private long updatedNanos;
    /** Passing part when a report last confirmed it, 0 for none, with its first and last confirmation. */
    private double confirmed;

    private long confirmedSinceNanos;
    private long confirmedNanos;

    private record Report(long receivedNanos, int answers, double logRatio) {}

    private record Deviation(double log, int answers) {}

    PaceEstimate(long nowNanos) {
        this.updatedNanos = nowNanos;
        this.confirmedNanos = nowNanos - 2 * MAX_HOLD_NANOS;
    }

    /** Adds the report of a node; a ratio that is no positive number is ignored. */
    void add(RunnerPace pace, long nowNanos) {
        if (!(pace.ratio() > 0) || pace.answers() <= 0) {
            return;
        }
        double logRatio = Math.clamp(Math.log(pace.ratio()), -MAX_LOG, MAX_LOG);
        int answers = Math.min(MAX_ANSWERS_OF_REPORT, pace.answers());
        double deviation = logRatio - lasting;
        double seconds = Math.min(MAX_STEP_SECONDS, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
        boolean usual = passing(nowNanos) == 0 && Math.abs(deviation) < MAX_LASTING_DEVIATION;
        double perSecond = usual ? LASTING_PER_SECOND : LASTING_PER_SECOND_WHILE_PASSING;
        double step = perSecond * Math.max(0, seconds);
        lasting += Math.clamp(deviation, -step, step);
        updatedNanos = nowNanos;
        reports.addLast(new Report(nowNanos, answers, logRatio));
        confirm(passing(nowNanos), nowNanos);
    }

    /** Returns the pace: expected duration over the usual duration. */
    double ratio(long nowNanos) {
        double known = Math.abs(lasting) < MIN_LASTING ? 0 : lasting;
        return Math.exp(Math.clamp(known + passing(nowNanos), -MAX_LOG, MAX_LOG));
    }

    /** Returns when the last report arrived. */
    long updatedNanos() {
        return updatedNanos;
    }

    /**
     * Returns the deviation of the last reports from the lasting part; 0 if it is small. Without reports, one that has
     * lasted for long is assumed to go on, and then fades so that few requests find out whether it does.
     */
    private double passing(long nowNanos) {
        while (!reports.isEmpty() && nowNanos - reports.peekFirst().receivedNanos() > WINDOW_NANOS) {
            reports.removeFirst();
        }
        double assumed = assumed(nowNanos);
        if (reports.isEmpty()) {
            return assumed;
        }
        List<Deviation> deviations = new ArrayList<>();
        deviations.add(new Deviation(assumed, ASSUMED_ANSWERS));
        int answers = ASSUMED_ANSWERS;
        for (Report report : reports) {
            deviations.add(new Deviation(report.logRatio() - lasting, report.answers()));
            answers += report.answers();
        }
        double median = weightedMedian(deviations, answers);
        return Math.abs(median) < MIN_PASSING ? 0 : median;
    }

    /** Returns the deviation that is assumed beside the reports: that of a change that has lasted, or else 0. */
    private double assumed(long nowNanos) {
        if (confirmed == 0) {
            return 0;
        }
        long lastedNanos = confirmedNanos - confirmedSinceNanos;
        if (lastedNanos < MIN_LASTED_NANOS) {
            return 0;
        }
        double holdNanos = Math.min(MAX_HOLD_NANOS, lastedNanos);
        double left = 2 - 2 * (nowNanos - confirmedNanos) / holdNanos;
        return confirmed * Math.clamp(left, 0, 1);
    }

    /** Records that the reports show a passing change, or that good answers have ended it. */
    private void confirm(double passing, long nowNanos) {
        if (passing == 0) {
            confirmed = 0;
            return;
        }
        if (nowNanos - confirmedNanos > MAX_HOLD_NANOS) {
            confirmedSinceNanos = nowNanos;
        }
        confirmed = passing;
        confirmedNanos = nowNanos;
    }

    /** Returns the weighted median; of two middle values, the one that deviates less. */
    private static double weightedMedian(List<Deviation> deviations, int answers) {
        deviations.sort(Comparator.comparingDouble(Deviation::log));
        int passed = 0;
        for (int i = 0; i < deviations.size(); i++) {
            passed += deviations.get(i).answers();
            double log = deviations.get(i).log();
            if (2 * passed > answers) {
                return log;
            }
            if (2 * passed == answers) {
                double next = deviations.get(i + 1).log();
                return Math.abs(next) < Math.abs(log) ? next : log;
            }
        }
        throw new IllegalStateException("the weights sum up to less than " + answers);
    }
}
