package io.persimmonstack.load;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the stand-ins saw.
 *
 * @param executedRequestIds identifiers of the requests that ran
 * @param peakReplicasByModel most replicas at once by model
 * @param loadsByModel loads by model
 * @param loadsBeyondMemory load orders that engines refused for want of memory
 * @param ordersFenced orders that engines refused for an old fencing number
 * @param idleReplicaMs time that loaded replicas served nothing
 * @param weightStore most use of the weight store
 * @param violations promises that the stand-ins saw broken, such as two runs of one idempotency key
 * @param unreadableLedgers stand-ins whose ledger could not be read
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
     * Most use of the weight store at once, beside its limits.
     *
     * @param concurrentLoads checkpoints
     * @param fullSpeedLoads checkpoints at full speed
     * @param loadsStartedInOneSecond checkpoints that begun within one second
     * @param loadsPerSecondLimit checkpoints that may begin within one second
     * @param concurrentAdapters adapters
     * @param concurrentAdapterLimit adapters at full speed
     */
    record WeightStorePeak(
            int concurrentLoads,
            int fullSpeedLoads,
            int loadsStartedInOneSecond,
            double loadsPerSecondLimit,
            int concurrentAdapters,
            int concurrentAdapterLimit) {}
}
