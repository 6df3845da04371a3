package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Tracks when models become available. It identifies requests whose model cannot be loaded before their deadline, and
 * counts these requests as demand until their callers are expected to retry: otherwise a burst for a model whose load
 * takes longer than its callers wait would never get the model loaded. Callers pass the time. Not thread-safe; guarded
 * by the lock of {@link Placer}.
 */
final class ModelArrivalTracker {
    /** Age up to which estimates count. */
    private static final long ESTIMATE_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time after the advised retry time by which a caller is still expected to retry. */
    private static final long RETRY_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Number of refused requests that count as demand; beyond it, the oldest do not. */
    private static final int MAX_EXPECTED_RETRIES = 4_096;

    private final Map<ModelKey, Long> earliestAvailableNanos = new HashMap<>();
    private final Deque<ExpectedRetry> expectedRetries = new ArrayDeque<>();
    private long updatedNanos;

    private record ModelKey(String service, String model, Optional<String> softwareVersion) {}

    /**
     * What counts as demand of a refused request, without the request and its body.
     *
     * @param demand service, model and versions that it asked for
     * @param since when it was received, and its target
     * @param runnerFilter runners that may take it
     * @param expiresNanos monotonic time from which it no longer counts as demand
     */
    record ExpectedRetry(DemandKey demand, WaitingSince since, RunnerFilter runnerFilter, long expiresNanos) {}

    /** Replaces all estimates. */
    void update(List<ModelArrival> arrivals, long nowNanos) {
        updatedNanos = nowNanos;
        earliestAvailableNanos.clear();
        for (ModelArrival arrival : arrivals) {
            ModelKey key = new ModelKey(arrival.service(), arrival.model(), arrival.softwareVersion());
            earliestAvailableNanos.put(key, nowNanos + TimeUnit.MILLISECONDS.toNanos(arrival.earliestMs()));
        }
    }

    /**
     * Returns how long the model of a request stays unavailable, in milliseconds, if that exceeds the request's
     * deadline; empty if the model may be available in time or if the estimates are outdated. For the rest of a stream
     * only an estimate for its software version counts, since one for all runners need not hold for these few.
     *
     * @param queued waiting request
     * @param nowNanos current monotonic time
     */
    OptionalLong unavailableForMs(QueuedRequest queued, long nowNanos) {
        OptionalLong expectedMs = expectedMs(queued, nowNanos);
        return expectedMs.isPresent()
                        && nowNanos + TimeUnit.MILLISECONDS.toNanos(expectedMs.getAsLong()) - queued.deadlineNanos() > 0
                ? expectedMs
                : OptionalLong.empty();
    }

    /** Returns how long the model of a request stays unavailable, in milliseconds; empty without a valid estimate. */
    OptionalLong expectedMs(QueuedRequest queued, long nowNanos) {
        Optional<ModelRef> model = queued.request().callerRequest().model();
        if (model.isEmpty() || nowNanos - updatedNanos > ESTIMATE_VALID_NANOS) {
            return OptionalLong.empty();
        }
        ModelKey key = new ModelKey(
                queued.request().service().name(),
                model.get().model(),
                queued.runnerFilter().softwareVersion());
        Long availableNanos = earliestAvailableNanos.get(key);
        return availableNanos == null
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(availableNanos - nowNanos));
    }

    /** Records a refused request, which counts as demand until its caller is expected to have retried. */
    void recordRefusal(QueuedRequest queued, long retryAfterMs, long nowNanos) {
        long expiresNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(retryAfterMs) + RETRY_GRACE_NANOS;
        queued.request()
                .callerRequest()
                .model()
                .ifPresent(model -> expectedRetries.add(new ExpectedRetry(
                        DemandKey.of(queued, model),
                        WaitingSince.of(queued.request()),
                        queued.runnerFilter(),
                        expiresNanos)));
        if (expectedRetries.size() > MAX_EXPECTED_RETRIES) {
            expectedRetries.removeFirst();
        }
    }

    /** Returns the refused requests whose callers are still expected to retry. */
    List<ExpectedRetry> expectedRetries(long nowNanos) {
        expectedRetries.removeIf(retry -> nowNanos - retry.expiresNanos() > 0);
        return List.copyOf(expectedRetries);
    }
}
