package io.persimmonstack.load;

import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Outcomes of one run as seen by the callers. Thread-safe. */
final class LoadResult {
    private final RequestStatistics cold = new RequestStatistics();
    private final RequestStatistics warm = new RequestStatistics();
    private final RequestStatistics serviceCalls = new RequestStatistics();
    private final AtomicLong skippedCount = new AtomicLong();
    private final Queue<List<String>> requestIdsOfRefusedKeys = new ConcurrentLinkedQueue<>();

    /**
     * Returns the statistics of the chat requests sent in bursts or by the trace, whose model may not be loaded yet.
     */
    RequestStatistics cold() {
        return cold;
    }

    /** Returns the statistics of the chat requests to models whose first burst was already sent. */
    RequestStatistics warm() {
        return warm;
    }

    /** Returns the statistics of the calls to plain services, which must not run twice. */
    RequestStatistics serviceCalls() {
        return serviceCalls;
    }

    /** Counts a request that was not sent because too many requests were in flight. */
    void countSkipped() {
        skippedCount.incrementAndGet();
    }

    /** Returns the number of requests that were not sent because too many were in flight. */
    long skippedRequests() {
        return skippedCount.get();
    }

    /** Adds an idempotency key whose last answer was a refusal as not run, by the identifiers of all its requests. */
    void addRefusedKey(List<String> requestIds) {
        requestIdsOfRefusedKeys.add(List.copyOf(requestIds));
    }

    /** Returns the number of idempotency keys of which a request ran although the last one was refused as not run. */
    long countKeysFalselyRefused(Set<String> executedRequestIds) {
        return requestIdsOfRefusedKeys.stream()
                .filter(ids -> ids.stream().anyMatch(executedRequestIds::contains))
                .count();
    }

    /** Returns a new set of the requests whose refusal stated that they did not run. */
    Set<String> refusedAsNotRun() {
        Set<String> requestIds = new HashSet<>(cold.refusedAsNotRun());
        requestIds.addAll(warm.refusedAsNotRun());
        requestIds.addAll(serviceCalls.refusedAsNotRun());
        return requestIds;
    }
}
