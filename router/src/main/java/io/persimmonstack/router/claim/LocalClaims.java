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

/** This router's writers of the claim log, one for each shard that it has been asked to write. */
public final class LocalClaims implements AutoCloseable {
    private static final long KV_PAUSE_MS = 100;
    private static final long TRIM_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long IDLE_POLL_MS = 1_000;

    private final ClaimShards shards;
    private final String writer;
    private final KvStore store;
    private final Duration retention;
    private final long batchIntervalMs;
    private final int maxHeld;
    private final Map<Integer, Writer> writers = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private LocalClaims(
            ClaimShards shards, String writer, KvStore store, Duration retention, long batchIntervalMs, int maxHeld) {
        this.maxHeld = maxHeld;
        this.shards = shards;
        this.writer = writer;
        this.store = store;
        this.retention = retention;
        this.batchIntervalMs = batchIntervalMs;
    }

    /**
     * Creates the writers.
     *
     * @param shards division of the keys
     * @param writer node and incarnation
     * @param store key-value service
     * @param retention how long claims are kept
     * @param batchIntervalMs shortest time between two segments of a shard
     * @param maxHeld claims held in memory over all shards
     * @return the writers
     */
    public static LocalClaims of(
            ClaimShards shards, String writer, KvStore store, Duration retention, long batchIntervalMs, int maxHeld) {
        return new LocalClaims(shards, writer, store, retention, batchIntervalMs, maxHeld);
    }

    /**
     * Claims a key.
     *
     * @param claim the claim
     * @param waitMs time until the claimant gives up
     * @return the answer, completed within the time
     */
    public CompletableFuture<ClaimResult> claim(Claim claim, long waitMs) {
        Writer shard = writer(claim.key());
        CompletableFuture<ClaimResult> answer = shard.log.submit(claim, waitMs);
        shard.work.release();
        return answer;
    }

    /**
     * Records the outcome of a claimed request.
     *
     * @param claim the claim that was granted
     * @param outcome the answer that the request got
     */
    public void settle(Claim claim, ClaimOutcome outcome) {
        Writer shard = writer(claim.key());
        shard.log.settle(claim, outcome);
        shard.work.release();
    }

    private Writer writer(String key) {
        return writers.computeIfAbsent(shards.shardOf(key), Writer::new);
    }

    @Override
    public void close() {
        closed = true;
        writers.values().forEach(shard -> shard.thread.interrupt());
    }

    /** Log of one shard and the thread that writes it. */
    private final class Writer {
        private final ClaimShard log;
        private final Semaphore work = new Semaphore(0);
        private final Thread thread;
        private long lastTrimNanos = System.nanoTime();

        private Writer(int number) {
            ClaimShardOptions options = ClaimShardOptions.of(
                            TimeSource.system(), () -> UUID.randomUUID().toString(), retention)
                    .withMaxClaims(Math.max(1, maxHeld / shards.count()));
            this.log = ClaimShard.create(number, writer, store, ClaimSegmentCodec.create(), options);
            this.thread = Thread.ofVirtual().name("claim-shard-" + number).start(this::run);
        }

        private void run() {
            try {
                while (!closed) {
                    work.tryAcquire(IDLE_POLL_MS, TimeUnit.MILLISECONDS);
                    work.drainPermits();
                    flush();
                    trim();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void flush() throws InterruptedException {
            while (!closed && log.flushNeeded()) {
                switch (log.flush()) {
                    case FlushResult.Idle idle -> {
                        return;
                    }
                    case FlushResult.Written written -> Thread.sleep(batchIntervalMs);
                    case FlushResult.Delayed delayed -> Thread.sleep(Jitter.spread(KV_PAUSE_MS));
                }
            }
        }

        private void trim() {
            if (System.nanoTime() - lastTrimNanos < TRIM_INTERVAL_NANOS) {
                return;
            }
            lastTrimNanos = System.nanoTime();
            try {
                log.trim();
            } catch (KvException e) {
                return;
            }
        }
    }
}
