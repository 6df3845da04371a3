package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Request that waits for a runner. */
final class Waiter implements Comparable<Waiter> {
    private final ActiveRequest request;
    private final Set<String> excluded;
    private final CompletableFuture<Placement> placed = new CompletableFuture<>();

    Waiter(ActiveRequest request, Set<String> excluded) {
        this.request = request;
        this.excluded = excluded;
    }

    ActiveRequest request() {
        return request;
    }

    Set<String> excluded() {
        return excluded;
    }

    CompletableFuture<Placement> placed() {
        return placed;
    }

    void refuse(RefusedException refusal) {
        placed.completeExceptionally(refusal);
    }

    /** Orders by rank, then by age. */
    @Override
    public int compareTo(Waiter other) {
        int byRank = Integer.compare(
                request.route().priority(), other.request.route().priority());
        return byRank != 0 ? byRank : Long.compare(request.receivedNanos(), other.request.receivedNanos());
    }
}
