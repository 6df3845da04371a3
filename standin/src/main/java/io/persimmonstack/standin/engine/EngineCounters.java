package io.persimmonstack.standin.engine;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of one engine, reported by {@code GET /ledger}. Thread-safe. */
final class EngineCounters {
    final AtomicLong requestsStarted = new AtomicLong();
    final AtomicLong requestsCompleted = new AtomicLong();
    final AtomicLong requestsFailed = new AtomicLong();
    final AtomicLong streamsResumed = new AtomicLong();
    final AtomicLong loadsStarted = new AtomicLong();
    final AtomicLong unloadOrders = new AtomicLong();
    final AtomicLong ordersFenced = new AtomicLong();
    final AtomicLong ordersWithoutMemory = new AtomicLong();

    /**
     * JSON body of {@code GET /ledger}. Broken requests were cancelled, cut off, or abandoned by their caller.
     */
    record Body(
            String runner,
            long requestsBegun,
            long requestsCompleted,
            long requestsBroken,
            long streamsResumed,
            long loads,
            long unloads,
            long ordersFenced,
            long ordersWithoutMemory,
            long memoryBytes,
            long memoryHighWaterBytes,
            long idleReplicaMs) {}

    Body toBody(String runner, long memoryBytes, EngineMemory memory) {
        return new Body(
                runner,
                requestsStarted.get(),
                requestsCompleted.get(),
                requestsFailed.get(),
                streamsResumed.get(),
                loadsStarted.get(),
                unloadOrders.get(),
                ordersFenced.get(),
                ordersWithoutMemory.get(),
                memoryBytes,
                memory.highWaterBytes(),
                memory.totalIdleMs());
    }
}
