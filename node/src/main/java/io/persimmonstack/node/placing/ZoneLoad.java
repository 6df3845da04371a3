package io.persimmonstack.node.placing;

import java.util.Collection;

/**
 * Load of a group of runners.
 *
 * @param places places, weighted by the speed of their runner
 * @param requests requests in progress, as far as they are known, and waiting ones
 */
record ZoneLoad(double places, double requests) {
    /** Exponent of the growth of the waiting time: with many places, it is short until nearly all are taken. */
    private static final double EXPONENT = 8;
    /** Waiting time when all places are taken. */
    private static final double TIME_WHEN_FULL = 0.5;

    /**
     * Returns the load of runners.
     *
     * @param trackers trackers of the runners that can be used
     * @param waiting requests that wait for one of them
     */
    static ZoneLoad of(Collection<RunnerLoadTracker> trackers, double waiting) {
        double places = 0;
        double requests = waiting;
        for (RunnerLoadTracker tracker : trackers) {
            int slots = Math.max(1, tracker.runner().slots());
            places += slots / tracker.pace();
            requests += Math.min(slots, tracker.totalRequests()) / tracker.pace();
        }
        return new ZoneLoad(places, requests);
    }

    double utilisation() {
        return places == 0 ? Double.POSITIVE_INFINITY : requests / places;
    }

    /** Returns the time that a request is expected to wait, in units of the usual time of a request. */
    double waitingTime() {
        double utilisation = utilisation();
        return utilisation <= 1 ? TIME_WHEN_FULL * Math.pow(utilisation, EXPONENT) : TIME_WHEN_FULL + utilisation - 1;
    }
}
