package io.persimmonstack.router.admission;

import io.opentelemetry.context.Context;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Request that waits for capacity at a target, and the decision about it. Thread-safe. */
final class QueuedRequest {
    private static final AtomicLong ARRIVAL_NUMBERS = new AtomicLong();
    private final long arrivalNumber = ARRIVAL_NUMBERS.incrementAndGet();
    private final Work work;
    private final TargetFilter filter;
    private final String caller;
    private final int priority;
    private final long deadlineNanos;
    private final Context trace;
    private final CompletableFuture<Decision> decision = new CompletableFuture<>();

    /** Decision about a waiting request. */
    sealed interface Decision {
        /** The request has a reservation at a target. */
        record Admitted(Reservation reservation) implements Decision {}

        /** The request is refused. */
        record Refused(Refusal refusal) implements Decision {}
    }

    private QueuedRequest(
            Work work, TargetFilter filter, String caller, int priority, long deadlineNanos, Context trace) {
        this.work = work;
        this.filter = filter;
        this.caller = caller;
        this.priority = priority;
        this.deadlineNanos = deadlineNanos;
        this.trace = trace;
    }

    static QueuedRequest of(Request request) {
        return new QueuedRequest(
                request.work(),
                request.targetFilter().whileWaiting(),
                request.caller(),
                request.priority(),
                request.deadlineNanos(),
                request.trace());
    }

    static QueuedRequest of(Work work, String caller, int priority, long deadlineNanos) {
        return new QueuedRequest(work, TargetFilter.any(), caller, priority, deadlineNanos, Context.root());
    }

    /** Returns a number that grows with each arrival, for ordering requests with equal deadlines. */
    long arrivalNumber() {
        return arrivalNumber;
    }

    Work work() {
        return work;
    }

    /** Returns which targets may take the request. */
    TargetFilter filter() {
        return filter;
    }

    String caller() {
        return caller;
    }

    int priority() {
        return priority;
    }

    /** Returns the deadline on the clock of {@link System#nanoTime()}. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the trace context that the request had when it began to wait. */
    Context trace() {
        return trace;
    }

    /** Sets the decision; returns false, without effect, if there already is one. */
    boolean decide(Decision outcome) {
        return decision.complete(outcome);
    }

    boolean isDecided() {
        return decision.isDone();
    }

    /** Waits for the decision; if there is none within the timeout, the supplied one is set. */
    Decision awaitDecision(long timeoutMs, Supplier<Decision> onTimeout) throws InterruptedException {
        try {
            return decision.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            decision.complete(onTimeout.get());
            return decision.join();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision never completes exceptionally", e);
        }
    }
}
