package io.persimmonstack.node;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;

/** Records the counters and timers of the node. */
public final class NodeMetrics {
    private final MetricRegistry registry;

    private NodeMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns metrics that are kept in the given registry. */
    public static NodeMetrics in(MetricRegistry registry) {
        return new NodeMetrics(registry);
    }

    /**
     * Counts a request that a runner answered.
     *
     * @param totalMs time from its receipt to the end of its answer, in milliseconds
     * @param firstEventMs time to the first event of a stream, in milliseconds; negative for other answers
     */
    public void recordServed(long totalMs, long firstEventMs) {
        registry.counter("requests.served").inc();
        registry.timer("requests.time").update(totalMs, TimeUnit.MILLISECONDS);
        if (firstEventMs >= 0) {
            registry.timer("requests.first-event").update(firstEventMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts a request that the node answered itself, by the reason of the refusal. */
    public void recordRefused(String reason) {
        registry.counter("requests.refused." + reason).inc();
    }

    /** Counts input that was refused before it was a whole request, by the reason. */
    public void recordInputRefused(String reason) {
        registry.counter("input.refused." + reason).inc();
    }

    /** Counts a request whose caller disconnected before the answer was complete. */
    public void recordCallerLeft() {
        registry.counter("requests.caller-left").inc();
    }

    /** Counts an order to a runner by its outcome, a word in lower case. */
    public void recordOrder(String outcome) {
        registry.counter("orders." + outcome).inc();
    }

    /** Records the time from the acceptance of an unload to that of the next order, in milliseconds. */
    public void recordUnload(long ms) {
        registry.timer("orders.unload-time").update(ms, TimeUnit.MILLISECONDS);
    }

    /** Counts copies of origins that another node has confirmed. */
    public void recordOriginCopiesSent(long copies) {
        registry.counter("origins.copies.sent").inc(copies);
    }

    /** Counts copies of origins that were given up. */
    public void recordOriginCopiesDropped(long copies) {
        registry.counter("origins.copies.dropped").inc(copies);
    }

    /** Counts a lookup of an origin by its outcome, a word in lower case. */
    public void recordOriginLookup(String outcome) {
        registry.counter("origins.lookups." + outcome).inc();
    }

    /** Counts a request that was assigned to a runner, by its zone and the cause, as the end of the metric's name. */
    public void recordZone(String zoneAndCause) {
        registry.counter("requests.sent." + zoneAndCause).inc();
    }
}
