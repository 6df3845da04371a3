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

    /** Unmet demand by service, then by the name of the model; services may use equal names for different models. */
    private final Map<String, Map<String, Span>> spansByService = new HashMap<>();

    /** Monotonic times at which unmet demand for a model was first and last observed. */
    private record Span(long sinceNanos, long seenNanos) {}

    /** Updates the tracked models of a service from its current demand and runners. */
    void observe(String service, ServiceState state, long nowNanos) {
        Map<String, Span> spans = spansOf(service);
        ServiceAggregates.demandByModel(state).forEach((model, demand) -> {
            if (demand.waiting() > 0) {
                long since = spans.containsKey(model) ? spans.get(model).sinceNanos() : nowNanos;
                spans.put(model, new Span(since, nowNanos));
            }
        });
        spans.keySet().removeIf(model -> ServiceAggregates.isHeld(state, model));
        spans.values().removeIf(span -> nowNanos - span.seenNanos() > EXPIRY_NANOS);
    }

    /** Returns for how long the demand for each model of a service has been unmet, in milliseconds. */
    Map<String, Long> durationsMs(String service, long nowNanos) {
        Map<String, Long> durationsMs = new HashMap<>();
        spansOf(service)
                .forEach((model, span) ->
                        durationsMs.put(model, TimeUnit.NANOSECONDS.toMillis(nowNanos - span.sinceNanos())));
        return durationsMs;
    }

    private Map<String, Span> spansOf(String service) {
        return spansByService.computeIfAbsent(service, ignored -> new HashMap<>());
    }
}
