package io.persimmonstack.node.planning;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tracks for how long there have been requests for models that no runner holds, also across short periods in which none
 * waits, so that rarely requested models are not starved by busy ones. Callers pass the time. Not thread-safe.
 */
final class UnmetDemandTracker {
    /** Time without waiting requests after which unmet demand is dropped. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Span> spans = new HashMap<>();

    /** Monotonic times at which unmet demand for a model was first and last observed. */
    private record Span(long sinceNanos, long seenNanos) {}

    /** Updates the tracked models from the current demand and runners. */
    void observe(ServiceState state, long nowNanos) {
        ServiceAggregates.demandByModel(state).forEach((model, demand) -> {
            if (demand.waiting() > 0) {
                long since = spans.containsKey(model) ? spans.get(model).sinceNanos() : nowNanos;
                spans.put(model, new Span(since, nowNanos));
            }
        });
        spans.keySet().removeIf(model -> ServiceAggregates.isHeld(state, model));
        spans.values().removeIf(span -> nowNanos - span.seenNanos() > EXPIRY_NANOS);
    }

    /** Returns for how long the demand for each model has been unmet, in milliseconds. */
    Map<String, Long> durationsMs(long nowNanos) {
        Map<String, Long> durationsMs = new HashMap<>();
        spans.forEach(
                (model, span) -> durationsMs.put(model, TimeUnit.NANOSECONDS.toMillis(nowNanos - span.sinceNanos())));
        return durationsMs;
    }
}
