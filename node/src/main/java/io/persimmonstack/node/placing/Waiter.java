package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Request that waits for a runner. */
final class Waiter implements Comparable<Waiter> {
    private final ActiveRequest request;
    private final Set<String> excluded;
    private final long untilNanos;
    private final CompletableFuture<Placement> placed = new CompletableFuture<>();

    Waiter(ActiveRequest request, Set<String> excluded, long untilNanos) {
        this.request = request;
        this.excluded = excluded;
        this.untilNanos = untilNanos;
    }

    ActiveRequest request() {
        return request;
    }

    Set<String> excluded() {
        return excluded;
    }

    /** Returns when waiting is in vain, by the monotonic clock. */
    long untilNanos() {
        return untilNanos;
    }

    CompletableFuture<Placement> placed() {
        return placed;
    }

    void refuse(RefusedException refusal) {
        placed.completeExceptionally(refusal);
    }

    /** Returns the place that it was given, empty while it waits and where it was refused. */
    Optional<Placement> placement() {
        return placed.state() == Future.State.SUCCESS ? Optional.of(placed.resultNow()) : Optional.empty();
    }

    /** Returns why it was refused, empty where it was not. */
    Optional<RefusedException> refusal() {
        return placed.state() == Future.State.FAILED && placed.exceptionNow() instanceof RefusedException refused
                ? Optional.of(refused)
                : Optional.empty();
    }

    /** Orders by rank, then by age. */
    @Override
    public int compareTo(Waiter other) {
        int byRank = Integer.compare(
                request.route().priority(), other.request.route().priority());
        return byRank != 0 ? byRank : Long.compare(request.receivedNanos(), other.request.receivedNanos());
    }
}
