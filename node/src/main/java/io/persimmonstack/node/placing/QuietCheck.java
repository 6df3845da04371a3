package io.persimmonstack.node.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Refuses requests if all runners that could take them want none until after their deadlines. For one pass over the
 * queue: the runners are searched once for all requests that the same ones can serve.
 */
final class QuietCheck {
    private final Map<Served, OptionalLong> untilNanosByServed = new HashMap<>();
    private final Function<QueuedRequest, OptionalLong> untilNanos;
    private final long nowNanos;

    /** What decides which runners can serve a request. */
    private record Served(WaitingGroup.Target target, RunnerFilter filter) {}

    /**
     * Creates a check for one moment.
     *
     * @param untilNanos returns the end of the earliest pause of the runners that can serve a request, empty if one of
     *     them does not pause
     * @param nowNanos monotonic time
     */
    QuietCheck(Function<QueuedRequest, OptionalLong> untilNanos, long nowNanos) {
        this.untilNanos = untilNanos;
        this.nowNanos = nowNanos;
    }

    void refuseIfTooLong(QueuedRequest queued) {
        Served served = new Served(WaitingGroup.Target.of(queued.request()), queued.runnerFilter());
        OptionalLong until = untilNanosByServed.computeIfAbsent(served, key -> untilNanos.apply(queued));
        if (until.isEmpty() || until.getAsLong() - queued.deadlineNanos() < 0) {
            return;
        }
        queued.refuse(PlacementRefusals.runnersQuiet(TimeUnit.NANOSECONDS.toMillis(until.getAsLong() - nowNanos)));
    }
}
