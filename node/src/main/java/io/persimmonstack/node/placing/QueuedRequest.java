package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.RequestPriority;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Request that waits for a runner; its result is a {@link Placement} or a refusal. */
final class QueuedRequest implements Comparable<QueuedRequest> {
    private static final Comparator<QueuedRequest> ORDER = Comparator.comparing((QueuedRequest queued) -> queued.rank)
            .thenComparing(QueuedRequest::isNew)
            .thenComparingLong(queued -> queued.request.receivedNanos());

    private final ActiveRequest request;
    private final RunnerFilter runnerFilter;
    private final long deadlineNanos;
    private final CompletableFuture<Placement> result = new CompletableFuture<>();
    private RequestPriority rank;
    private long sequence;

    QueuedRequest(ActiveRequest request, RunnerFilter runnerFilter, long deadlineNanos) {
        this.request = request;
        this.runnerFilter = runnerFilter;
        this.deadlineNanos = deadlineNanos;
        this.rank = request.priority();
    }

    ActiveRequest request() {
        return request;
    }

    RunnerFilter runnerFilter() {
        return runnerFilter;
    }

    /** Returns the monotonic time at which the request stops waiting, in nanoseconds. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the priority over other waiting requests; usually that of the request. */
    RequestPriority rank() {
        return rank;
    }

    void setRank(RequestPriority priority) {
        rank = priority;
    }

    /** Returns whether the request has not been sent to a runner before, as far as its filter tells. */
    boolean isFirstTry() {
        return runnerFilter.equals(RunnerFilter.any());
    }

    /** Returns the number that orders requests of the same age. */
    long sequence() {
        return sequence;
    }

    void setSequence(long number) {
        sequence = number;
    }

    /**
     * Returns until when an answer that begins is on time, by the monotonic clock; empty if the route has no target
     * latency, or if the answer has begun, as that of the rest of a stream.
     */
    OptionalLong onTimeUntilNanos() {
        int targetMs = request.route().targetLatencyMs();
        return targetMs > 0 && isNew()
                ? OptionalLong.of(request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(targetMs))
                : OptionalLong.empty();
    }

    /** Returns whether the request cannot be on time any more. */
    boolean isLate(long nowNanos) {
        OptionalLong untilNanos = onTimeUntilNanos();
        return untilNanos.isPresent() && untilNanos.getAsLong() - nowNanos < 0;
    }

    CompletableFuture<Placement> result() {
        return result;
    }

    void refuse(RefusedException refusal) {
        result.completeExceptionally(refusal);
    }

    /** Ends the wait if the request can be placed; returns whether the wait has ended, now or before. */
    boolean tryComplete(Supplier<Optional<Placement>> placing) {
        if (!result.isDone()) {
            placing.get().ifPresent(result::complete);
        }
        return result.isDone();
    }

    /** Returns the placement, empty while the request waits or if it was refused. */
    Optional<Placement> placement() {
        return result.state() == Future.State.SUCCESS ? Optional.of(result.resultNow()) : Optional.empty();
    }

    /** Returns the refusal, empty if the request was not refused. */
    Optional<RefusedException> refusal() {
        return result.state() == Future.State.FAILED && result.exceptionNow() instanceof RefusedException refused
                ? Optional.of(refused)
                : Optional.empty();
    }

    /**
     * Orders by priority, lower values first, then the rest of streams before new requests, since it can go to one
     * software version only and its caller has part of the answer, then by time of receipt. {@link RequestQueue}
     * refines this order by what depends on the time and on the other waiting requests.
     */
    @Override
    public int compareTo(QueuedRequest other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether the request is not the rest of a stream. */
    boolean isNew() {
        return runnerFilter.softwareVersion().isEmpty();
    }
}
