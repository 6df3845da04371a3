package io.persimmonstack.node.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether the link to each other zone works, by the recent failures of this node at runners there. A zone counts as cut
 * once several requests have failed at a third of its runners, and is tried again after a time that doubles with each
 * time. Callers pass the time. Not thread-safe.
 */
final class ZoneLinks {
    /** Failures below which a zone is not cut: one runner may fail by itself. */
    private static final int MIN_FAILURES = 2;
    /** Share of the runners with failures from which on the zone is cut: a link may lose only some connections. */
    private static final double MIN_FAILING_SHARE = 1.0 / 3;
    /** Time for which a zone is not used after it was found to be cut. */
    private static final long FIRST_PAUSE_NANOS = 3_000_000_000L;

    private static final long MAX_PAUSE_NANOS = 24_000_000_000L;

    private final Map<String, Link> links = new HashMap<>();

    /** State of a link; immutable. */
    private record Link(boolean cut, long untilNanos, long pauseNanos) {
        private static final Link WORKING = new Link(false, 0, 0);

        private Link next(Collection<RunnerLoadTracker> runners, long nowNanos) {
            if (cut && nowNanos - untilNanos < 0) {
                return this;
            }
            if (!isFailing(runners, nowNanos)) {
                return new Link(false, untilNanos, pauseNanos);
            }
            boolean again = pauseNanos > 0 && nowNanos - untilNanos < pauseNanos;
            long nextPauseNanos = again ? Math.min(MAX_PAUSE_NANOS, 2 * pauseNanos) : FIRST_PAUSE_NANOS;
            return new Link(true, nowNanos + nextPauseNanos, nextPauseNanos);
        }
    }

    /** Returns whether the link to a zone would be found to be cut; changes nothing. */
    boolean wouldBeCut(String zone, Collection<RunnerLoadTracker> runners, long nowNanos) {
        return links.getOrDefault(zone, Link.WORKING).next(runners, nowNanos).cut();
    }

    /**
     * Returns whether the link to a zone is cut.
     *
     * @param zone other zone
     * @param runners trackers of the runners there
     * @param nowNanos monotonic time
     */
    boolean isCut(String zone, Collection<RunnerLoadTracker> runners, long nowNanos) {
        Link link = links.getOrDefault(zone, Link.WORKING).next(runners, nowNanos);
        links.put(zone, link);
        return link.cut();
    }

    private static boolean isFailing(Collection<RunnerLoadTracker> runners, long nowNanos) {
        int failures = 0;
        int failing = 0;
        for (RunnerLoadTracker tracker : runners) {
            int recent = tracker.recentFailures(nowNanos);
            failures += recent;
            failing += recent > 0 ? 1 : 0;
        }
        return failures >= MIN_FAILURES && failing >= runners.size() * MIN_FAILING_SHARE;
    }
}
