package io.persimmonstack.node.planning;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers since when requests have come for models that no runner holds, also while none of them waits at the moment,
 * so that rare models are not starved by busy ones. The time comes in as an argument.
 */
final class UnmetDemandTracker {
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private final Map<String, Span> spans = new HashMap<>();

    private record Span(long sinceNanos, long seenNanos) {}

    /** Takes the demand and the runners as they are now. */
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

    /** Returns for how long each model has been asked for in vain, in milliseconds. */
    Map<String, Long> durationsMs(long nowNanos) {
        Map<String, Long> durationsMs = new HashMap<>();
        spans.forEach(
                (model, span) -> durationsMs.put(model, TimeUnit.NANOSECONDS.toMillis(nowNanos - span.sinceNanos())));
        return durationsMs;
    }
}
