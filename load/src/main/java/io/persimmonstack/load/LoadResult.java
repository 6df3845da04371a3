package io.persimmonstack.load;

import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** What the callers of one run saw. */
final class LoadResult {
    private final RequestStatistics cold = new RequestStatistics();
    private final RequestStatistics warm = new RequestStatistics();
    private final RequestStatistics serviceCalls = new RequestStatistics();
    private final AtomicLong skippedCount = new AtomicLong();
    private final Queue<List<String>> requestIdsOfRefusedKeys = new ConcurrentLinkedQueue<>();

    /** Returns the requests of the bursts. */
    RequestStatistics cold() {
        return cold;
    }

    /** Returns the requests after the bursts. */
    RequestStatistics warm() {
        return warm;
    }

    /** Returns the calls that may not be repeated. */
    RequestStatistics serviceCalls() {
        return serviceCalls;
    }

    void countSkipped() {
        skippedCount.incrementAndGet();
    }

    long skippedRequests() {
        return skippedCount.get();
    }

    /** Notes an idempotency key whose last answer said that the request did not run, by all requests that bore it. */
    void addRefusedKey(List<String> requestIds) {
        requestIdsOfRefusedKeys.add(List.copyOf(requestIds));
    }

    /** Returns how many idempotency keys ran although their last answer said that the request did not run. */
    long countKeysFalselyRefused(Set<String> executedRequestIds) {
        return requestIdsOfRefusedKeys.stream()
                .filter(ids -> ids.stream().anyMatch(executedRequestIds::contains))
                .count();
    }

    /** Returns the requests whose refusal said that they did not run. */
    Set<String> refusedAsNotRun() {
        Set<String> requestIds = new HashSet<>(cold.refusedAsNotRun());
        requestIds.addAll(warm.refusedAsNotRun());
        requestIds.addAll(serviceCalls.refusedAsNotRun());
        return requestIds;
    }
}
