package io.persimmonstack.router.claim;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.coordination.claim.ClaimShard;
import io.persimmonstack.coordination.claim.ClaimShardOptions;
import io.persimmonstack.coordination.claim.ClaimShards;
import io.persimmonstack.coordination.claim.FlushResult;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.router.request.Jitter;
import io.persimmonstack.wire.codec.ClaimSegmentCodec;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Claims that this router records itself. Each shard that receives a claim gets its own writer thread, which appends
 * claims and outcomes to the shard's log in batches.
 */
public final class LocalClaims implements AutoCloseable {
    private static final long KV_BACKOFF_MS = 100;
    private static final long TRIM_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long IDLE_POLL_MS = 1_000;

    private final ClaimShards shards;
    private final String writerId;
    private final KvStore store;
    private final Duration retention;
    private final long batchIntervalMs;
    private final int maxClaimsInMemory;
    private final Map<Integer, ShardWriter> writers = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private LocalClaims(
            ClaimShards shards,
            String writerId,
            KvStore store,
            Duration retention,
            long batchIntervalMs,
            int maxClaimsInMemory) {
        this.maxClaimsInMemory = maxClaimsInMemory;
        this.shards = shards;
        this.writerId = writerId;
        this.store = store;
        this.retention = retention;
        this.batchIntervalMs = batchIntervalMs;
    }

    /**
     * Creates the writers.
     *
     * @param shards assignment of keys to shards
     * @param writerId node and incarnation of this router, unique among writers
     * @param store key-value service that holds the logs
     * @param retention how long claims are kept
     * @param batchIntervalMs shortest time between two writes to a shard's log
     * @param maxClaimsInMemory claims held in memory, over all shards
     * @return the writers
     */
    public static LocalClaims of(
            ClaimShards shards,
            String writerId,
            KvStore store,
            Duration retention,
            long batchIntervalMs,
            int maxClaimsInMemory) {
        return new LocalClaims(shards, writerId, store, retention, batchIntervalMs, maxClaimsInMemory);
    }

    /**
     * Submits a claim to the writer of its key's shard.
     *
     * @param claim the claim
     * @param waitMs time until the claimant gives up
     * @return the result, normally completed within the time; at once if the queue of the shard is full
     */
    public CompletableFuture<ClaimResult> claim(Claim claim, long waitMs) {
        ShardWriter shardWriter = writerFor(claim.key());
        CompletableFuture<ClaimResult> answer = shardWriter.shard.submit(claim, waitMs);
        shardWriter.workSignal.release();
        return answer;
    }

    /**
     * Queues the outcome of a claimed request for the next write to its shard's log.
     *
     * @param claim the claim of the request
     * @param outcome answer that retries of the request will get
     */
    public void settle(Claim claim, ClaimOutcome outcome) {
        ShardWriter shardWriter = writerFor(claim.key());
        shardWriter.shard.settle(claim, outcome);
        shardWriter.workSignal.release();
    }

    private ShardWriter writerFor(String key) {
        return writers.computeIfAbsent(shards.shardOf(key), ShardWriter::new);
    }

    @Override
    public void close() {
        closed = true;
        writers.values().forEach(shardWriter -> shardWriter.writerThread.interrupt());
    }

    /** Claim log of one shard and the thread that writes it. */
    private final class ShardWriter {
        private final ClaimShard shard;
        private final Semaphore workSignal = new Semaphore(0);
        private final Thread writerThread;
        private long lastTrimAtNanos = System.nanoTime();

        private ShardWriter(int shardNumber) {
            ClaimShardOptions options = ClaimShardOptions.of(
                            TimeSource.system(), () -> UUID.randomUUID().toString(), retention)
                    .withMaxClaims(Math.max(1, maxClaimsInMemory / shards.count()));
            this.shard = ClaimShard.create(shardNumber, writerId, store, ClaimSegmentCodec.create(), options);
            this.writerThread =
                    Thread.ofVirtual().name("claim-shard-" + shardNumber).start(this::run);
        }

        private void run() {
            try {
                while (!closed) {
                    workSignal.tryAcquire(IDLE_POLL_MS, TimeUnit.MILLISECONDS);
                    workSignal.drainPermits();
                    flush();
                    trim();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Writes queued entries until none are left; pauses after each write and, with jitter, after a failure. */
        private void flush() throws InterruptedException {
            while (!closed && shard.flushNeeded()) {
                switch (shard.flush()) {
                    case FlushResult.Idle idle -> {
                        return;
                    }
                    case FlushResult.Written written -> Thread.sleep(batchIntervalMs);
                    case FlushResult.Delayed delayed -> Thread.sleep(Jitter.spread(KV_BACKOFF_MS));
                }
            }
        }

        /** Deletes expired log segments at most once per interval; a failed call is repeated in the next interval. */
        private void trim() {
            if (System.nanoTime() - lastTrimAtNanos < TRIM_INTERVAL_NANOS) {
                return;
            }
            lastTrimAtNanos = System.nanoTime();
            try {
                shard.trim();
            } catch (KvException e) {
                return;
            }
        }
    }
}
