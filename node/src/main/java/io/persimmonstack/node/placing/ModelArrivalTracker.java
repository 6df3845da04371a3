package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Says which requests wait in vain, since no runner can hold their model in time, and remembers their demand until
 * their callers come back. Answers bursts for models whose load takes longer than their callers wait. The time comes
 * in as an argument. Not thread-safe; {@link Placer} guards it.
 */
final class ModelArrivalTracker {
    private static final long ESTIMATE_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time that a caller may take to come back after the time that it was told. */
    private static final long RETRY_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final Map<ModelKey, Long> earliestAvailableNanos = new HashMap<>();
    private final List<ExpectedRetry> expectedRetries = new ArrayList<>();
    private long updatedNanos;

    private record ModelKey(String service, String model) {}

    /**
     * Request that was refused and whose caller is expected back.
     *
     * @param request the request
     * @param model model or adapter that it asked for
     * @param expiresNanos when its demand counts no more
     */
    record ExpectedRetry(ActiveRequest request, ModelRef model, long expiresNanos) {}

    /** Takes estimates in place of earlier ones. */
    void update(List<ModelArrival> arrivals, long nowNanos) {
        updatedNanos = nowNanos;
        earliestAvailableNanos.clear();
        for (ModelArrival arrival : arrivals) {
            ModelKey key = new ModelKey(arrival.service(), arrival.model());
            earliestAvailableNanos.put(key, nowNanos + TimeUnit.MILLISECONDS.toNanos(arrival.earliestMs()));
        }
    }

    /**
     * Returns how long the model of a request needs, in milliseconds, where that is too long for it to wait.
     *
     * @param request waiting request
     * @param deadlineNanos when its wait ends, by the monotonic clock
     * @param nowNanos monotonic time
     */
    OptionalLong unavailableForMs(ActiveRequest request, long deadlineNanos, long nowNanos) {
        if (request.caller().model().isEmpty() || nowNanos - updatedNanos > ESTIMATE_VALID_NANOS) {
            return OptionalLong.empty();
        }
        ModelKey key = new ModelKey(
                request.service().name(), request.caller().model().get().model());
        Long availableNanos = earliestAvailableNanos.get(key);
        return availableNanos == null || availableNanos - deadlineNanos <= 0
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(availableNanos - nowNanos));
    }

    /** Remembers the demand of a request that was refused. */
    void recordRefusal(ActiveRequest request, long retryAfterMs, long nowNanos) {
        long expiresNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(retryAfterMs) + RETRY_GRACE_NANOS;
        request.caller()
                .model()
                .ifPresent(model -> expectedRetries.add(new ExpectedRetry(request, model, expiresNanos)));
    }

    /** Returns the requests whose callers are expected back. */
    List<ExpectedRetry> expectedRetries(long nowNanos) {
        expectedRetries.removeIf(retry -> nowNanos - retry.expiresNanos() > 0);
        return List.copyOf(expectedRetries);
    }
}
