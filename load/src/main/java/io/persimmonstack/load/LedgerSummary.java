package io.persimmonstack.load;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Aggregate of what the stand-ins recorded during a run.
 *
 * @param executedRequestIds callers' identifiers of the requests that ran at a target
 * @param peakReplicasByModel highest number of concurrent replicas by model
 * @param loadsByModel number of loads by model
 * @param loadsBeyondMemory number of load orders that engines refused because they lacked the memory
 * @param ordersFenced number of orders that engines refused because of a stale fencing token
 * @param idleReplicaMs total time that loaded replicas served no request, in milliseconds
 * @param weightStore peak use of the weight store, empty if no ledger reports one
 * @param violations violated guarantees that the stand-ins recorded, such as two runs of one idempotency key
 * @param unreadableLedgers addresses of the stand-ins whose ledger could not be read
 */
record LedgerSummary(
        Set<String> executedRequestIds,
        Map<String, Integer> peakReplicasByModel,
        Map<String, Integer> loadsByModel,
        long loadsBeyondMemory,
        long ordersFenced,
        long idleReplicaMs,
        Optional<WeightStorePeak> weightStore,
        List<String> violations,
        List<String> unreadableLedgers) {
    /**
     * Peak use of the weight store and its limits.
     *
     * @param concurrentLoads highest number of concurrent checkpoint loads
     * @param fullSpeedLoads number of concurrent checkpoint loads that run at full speed
     * @param loadsStartedInOneSecond highest number of checkpoint loads that started within one second
     * @param loadsPerSecondLimit number of checkpoint loads that may start each second
     * @param concurrentAdapters highest number of concurrent adapter loads
     * @param concurrentAdapterLimit number of concurrent adapter loads that run at full speed
     */
    record WeightStorePeak(
            int concurrentLoads,
            int fullSpeedLoads,
            int loadsStartedInOneSecond,
            double loadsPerSecondLimit,
            int concurrentAdapters,
            int concurrentAdapterLimit) {}
}
