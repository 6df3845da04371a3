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
final class ArrivalBoard {
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time that a caller may take to come back after the time that it was told. */
    private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final Map<ModelKey, Long> earliestNanos = new HashMap<>();
    private final List<Returning> returning = new ArrayList<>();
    private long takenNanos;

    private record ModelKey(String service, String model) {}

    /**
     * Request that was refused and whose caller is expected back.
     *
     * @param request the request
     * @param model model or adapter that it asked for
     * @param expectedNanos when its demand counts no more
     */
    record Returning(ActiveRequest request, ModelRef model, long expectedNanos) {}

    /** Takes estimates in place of earlier ones. */
    void take(List<ModelArrival> arrivals, long nowNanos) {
        takenNanos = nowNanos;
        earliestNanos.clear();
        for (ModelArrival arrival : arrivals) {
            ModelKey key = new ModelKey(arrival.service(), arrival.model());
            earliestNanos.put(key, nowNanos + TimeUnit.MILLISECONDS.toNanos(arrival.earliestMs()));
        }
    }

    /**
     * Returns how long the model of a request needs, in milliseconds, where that is too long for it to wait.
     *
     * @param request waiting request
     * @param untilNanos when its wait ends, by the monotonic clock
     * @param nowNanos monotonic time
     */
    OptionalLong inVainMs(ActiveRequest request, long untilNanos, long nowNanos) {
        if (request.caller().model().isEmpty() || nowNanos - takenNanos > VALID_NANOS) {
            return OptionalLong.empty();
        }
        ModelKey key = new ModelKey(
                request.service().name(), request.caller().model().get().model());
        Long earliest = earliestNanos.get(key);
        return earliest == null || earliest - untilNanos <= 0
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(earliest - nowNanos));
    }

    /** Remembers the demand of a request that was refused. */
    void refused(ActiveRequest request, long retryAfterMs, long nowNanos) {
        long expected = nowNanos + TimeUnit.MILLISECONDS.toNanos(retryAfterMs) + RETURN_NANOS;
        request.caller().model().ifPresent(model -> returning.add(new Returning(request, model, expected)));
    }

    /** Returns the requests whose callers are expected back. */
    List<Returning> returning(long nowNanos) {
        returning.removeIf(request -> nowNanos - request.expectedNanos() > 0);
        return List.copyOf(returning);
    }
}
