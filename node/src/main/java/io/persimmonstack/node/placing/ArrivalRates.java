package io.persimmonstack.node.placing;

import java.util.HashMap;
import java.util.Map;

/** Mean number of requests a second that arrive at this node, by service. Not thread-safe. */
final class ArrivalRates {
    /** Time over which the mean is taken: a node may have one request in several seconds. */
    private static final double PERIOD_SECONDS = 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Meter> meters = new HashMap<>();

    private static final class Meter {
        private double perSecond;
        private long updatedNanos;

        private void decay(long nowNanos) {
            double seconds = Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
            perSecond *= Math.exp(-seconds / PERIOD_SECONDS);
            updatedNanos = nowNanos;
        }
    }

    /** Counts a request. */
    void count(String service, long nowNanos) {
        Meter meter = meters.computeIfAbsent(service, ignored -> new Meter());
        meter.decay(nowNanos);
        meter.perSecond += 1 / PERIOD_SECONDS;
    }

    /** Returns the requests a second for a service, without the last one, which would bias a mean of few. */
    double perSecond(String service, long nowNanos) {
        Meter meter = meters.get(service);
        if (meter == null) {
            return 0;
        }
        meter.decay(nowNanos);
        return Math.max(0, meter.perSecond - 1 / PERIOD_SECONDS);
    }
}
