package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Request that waits for a runner; its result is a {@link Placement} or a refusal. */
final class QueuedRequest implements Comparable<QueuedRequest> {
    private static final Comparator<QueuedRequest> ORDER = Comparator.comparing(
                    (QueuedRequest queued) -> queued.request.priority())
            .thenComparing(QueuedRequest::isNew)
            .thenComparingLong(queued -> queued.request.receivedNanos());

    private final ActiveRequest request;
    private final RunnerFilter runnerFilter;
    private final long deadlineNanos;
    private final CompletableFuture<Placement> result = new CompletableFuture<>();

    QueuedRequest(ActiveRequest request, RunnerFilter runnerFilter, long deadlineNanos) {
        this.request = request;
        this.runnerFilter = runnerFilter;
        this.deadlineNanos = deadlineNanos;
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

    CompletableFuture<Placement> result() {
        return result;
    }

    void refuse(RefusedException refusal) {
        result.completeExceptionally(refusal);
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
     * Orders by route priority, lower values first, then the rest of streams before new requests, since it can go to
     * one software version only and its caller has part of the answer, then by time of receipt.
     */
    @Override
    public int compareTo(QueuedRequest other) {
        return ORDER.compare(this, other);
    }

    private boolean isNew() {
        return runnerFilter.softwareVersion().isEmpty();
    }
}
