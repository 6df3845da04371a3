package io.persimmonstack.coordination.claim;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.coordination.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Writer of one shard of the claim log. Several nodes may write the same shard: a segment is created only if its number
 * is unused, so of two concurrent writers the loser reads the winner's segment and writes its entries under a later
 * number, unless the winner's segment already claims their keys. Thread-safe.
 *
 * <p>Claims are queued until a thread of the caller runs {@link #flush()}, which writes the queued entries in segments:
 *
 * <pre>{@code
 * ClaimShard shard = ClaimShard.create(3, writer, store, codec, options);
 * CompletableFuture<ClaimResult> answer = shard.submit(claim, 500);
 * shard.flush(); // repeatedly, on a thread of the caller
 * if (answer.get() instanceof ClaimResult.Claimed) { ... }
 * }</pre>
 *
 * <p>Retention first raises the floor, the lowest retained segment number, and then deletes the segments below it. A
 * writer that was paused may recreate a deleted number. Every writer therefore reads the floor after each write and
 * ignores segments below the floor.
 */
public final class ClaimShard {
    /** A writer that is further behind reads the whole log instead of one segment for each conflict. */
    private static final int MAX_CONFLICTS_BEFORE_RELOAD = 16;

    private final int shard;
    private final String writer;
    private final KvStore store;
    private final RecordCodec<ClaimSegment> codec;
    private final TimeSource time;
    private final Supplier<String> batchIds;
    private final long retentionNanos;
    private final ClaimKeys keys;
    private final ClaimQueue queue;
    private final ReentrantLock flushLock = new ReentrantLock();
    /** Live part of the log; empty until it is loaded, and after a sign that it is out of date. */
    private Optional<ClaimTable> table = Optional.empty();
    /** Segment whose write is not complete, if any. */
    private volatile Optional<ClaimBatch> pendingBatch = Optional.empty();

    private ClaimShard(
            int shard, String writer, KvStore store, RecordCodec<ClaimSegment> codec, ClaimShardOptions options) {
        this.shard = shard;
        this.writer = writer;
        this.store = store;
        this.codec = codec;
        this.time = options.time();
        this.batchIds = options.batchIds();
        this.retentionNanos = options.retention().toNanos();
        this.keys = new ClaimKeys(shard);
        this.queue = ClaimQueue.withMaxClaims(options.maxClaims());
    }

    /**
     * Creates a writer, which loads the log on the first flush.
     *
     * @param shard number of the shard
     * @param writer identifier of this node and its incarnation
     * @param store key-value service
     * @param codec codec of segments
     * @param options clock, batch identifiers, retention and maximum number of claims
     * @return the writer
     */
    public static ClaimShard create(
            int shard, String writer, KvStore store, RecordCodec<ClaimSegment> codec, ClaimShardOptions options) {
        return new ClaimShard(shard, writer, store, codec, options);
    }

    /**
     * Queues a claim. If the queue is full, the result is {@link ClaimResult.NotClaimed} at once.
     *
     * @param claim claim to record
     * @param timeoutMs time until the claim expires, in milliseconds
     * @return the result, completed by a flush
     */
    public CompletableFuture<ClaimResult> submit(Claim claim, long timeoutMs) {
        QueuedEntry entry = QueuedEntry.forClaim(claim, time.nanoTime() + timeoutMs * 1_000_000L);
        if (!queue.offer(entry)) {
            entry.complete(new ClaimResult.NotClaimed("claim queue of shard " + shard + " is full"));
        }
        return entry.answer();
    }

    /**
     * Queues the outcome of a claimed request. Best effort: if the outcome is lost, the key stays claimed without an
     * outcome.
     *
     * @param claim claim that was granted
     * @param outcome outcome of the request
     */
    public void settle(Claim claim, ClaimOutcome outcome) {
        queue.offer(QueuedEntry.forOutcome(claim, outcome));
    }

    /** Returns whether there are queued entries or a segment whose write is not complete. */
    public boolean flushNeeded() {
        return !queue.isEmpty() || pendingBatch.isPresent();
    }

    /**
     * Answers queued claims from the log and writes the others as one segment. Concurrent calls are serialized.
     *
     * @return what was done; after {@link FlushResult.Delayed}, call again after a backoff
     */
    public FlushResult flush() {
        flushLock.lock();
        try {
            return flushLocked();
        } catch (KvException e) {
            requeueUnwritten();
            return new FlushResult.Delayed(e);
        } finally {
            answerExpired();
            flushLock.unlock();
        }
    }

    /**
     * Deletes the segments that this node has known for at least the retention, oldest first.
     *
     * @return number of deleted segments
     * @throws KvException if a call to the key-value service failed; call again later
     */
    public int trim() throws KvException {
        flushLock.lock();
        try {
            ClaimTable claimTable = loadedTable();
            raiseFloor(claimTable, claimTable.floorAfterRetention(retentionNanos, time.nanoTime()));
            return deleteObsoleteSegments(claimTable);
        } finally {
            flushLock.unlock();
        }
    }

    /** Writes batches until one is confirmed or nothing is left to write; requires the flush lock. */
    private FlushResult flushLocked() throws KvException {
        int conflicts = 0;
        while (true) {
            if (pendingBatch.isEmpty() && nextBatch(loadedTable()).isEmpty()) {
                return new FlushResult.Idle();
            }
            ClaimBatch batch = pendingBatch.get();
            if (createSegment(batch)) {
                if (confirm(batch)) {
                    return new FlushResult.Written(
                            batch.segment().number(), batch.segment().entries().size());
                }
            } else if (++conflicts >= MAX_CONFLICTS_BEFORE_RELOAD) {
                table = Optional.empty();
                conflicts = 0;
            }
        }
    }

    /** Makes the next batch of the queue the pending one and answers claims with recorded outcomes. */
    private Optional<ClaimBatch> nextBatch(ClaimTable claimTable) throws KvException {
        List<QueuedEntry> needingOutcome = new ArrayList<>();
        Optional<List<QueuedEntry>> next = queue.nextBatch(claimTable, time.nanoTime(), needingOutcome);
        pendingBatch = next.map(entries -> new ClaimBatch(
                new ClaimSegment(
                        shard,
                        claimTable.nextNumber(),
                        writer,
                        batchIds.get(),
                        entries.stream().map(QueuedEntry::entry).toList()),
                entries));
        answerSettledClaims(claimTable, needingOutcome);
        return pendingBatch;
    }

    /** Answers claims of keys that have a recorded outcome; those that cannot be answered now are queued again. */
    private void answerSettledClaims(ClaimTable claimTable, List<QueuedEntry> needingOutcome) throws KvException {
        try {
            for (QueuedEntry entry : needingOutcome) {
                answerSettledClaim(claimTable, entry);
            }
        } finally {
            queue.requeue(needingOutcome);
        }
    }

    private void answerSettledClaim(ClaimTable claimTable, QueuedEntry entry) throws KvException {
        String key = entry.claim().key();
        RecordedClaim recorded = claimTable.recordedClaim(key).orElseThrow();
        Optional<ClaimOutcome> outcome = claimTable.cachedOutcome(key);
        if (outcome.isEmpty()) {
            outcome = readOutcome(recorded);
            outcome.ifPresent(read -> claimTable.cacheOutcome(key, read));
        }
        entry.complete(outcome.<ClaimResult>map(found -> new ClaimResult.AlreadyDone(recorded.claim(), found))
                .orElseGet(() -> new ClaimResult.AlreadyClaimed(recorded.claim())));
    }

    /** Reads an outcome from the log; empty if retention has deleted its segment in the meantime. */
    private Optional<ClaimOutcome> readOutcome(RecordedClaim recorded) throws KvException {
        Optional<KvEntry> found = store.get(keys.segmentKey(recorded.outcomeSegment()));
        if (found.isEmpty()) {
            return Optional.empty();
        }
        return codec.decode(found.get().value()).entries().stream()
                .filter(entry -> entry.claim().key().equals(recorded.claim().key()))
                .filter(entry -> entry.claim().sameClaimant(recorded.claim()))
                .flatMap(entry -> entry.outcome().stream())
                .findFirst();
    }

    /** Creates the segment; returns false if the number is taken by a segment of another writer. */
    private boolean createSegment(ClaimBatch batch) throws KvException {
        if (batch.state() == ClaimBatch.State.RECORDED) {
            return true;
        }
        WriteOutcome outcome;
        try {
            outcome = store.put(
                    keys.segmentKey(batch.segment().number()), codec.encode(batch.segment()), Expectation.absent());
        } catch (KvAmbiguousException e) {
            batch.markAmbiguous();
            throw e;
        }
        return switch (outcome) {
            case WriteOutcome.Applied applied -> {
                batch.markRecorded(applied.revision());
                yield true;
            }
            case WriteOutcome.Conflict conflict -> resolveConflict(batch, conflict);
        };
    }

    /**
     * Returns whether the existing segment is the batch's own, from an earlier attempt. Otherwise abandons the batch
     * and adds the segment to the table, or drops the table if the segment is below the floor.
     */
    private boolean resolveConflict(ClaimBatch batch, WriteOutcome.Conflict conflict) throws KvException {
        KvEntry found = conflict.current()
                .orElseThrow(() ->
                        new KvCorruptException(keys.segmentKey(batch.segment().number())
                                + ": creation conflicted, but no existing segment was returned"));
        ClaimSegment existing = codec.decode(found.value());
        if (existing.batch().equals(batch.segment().batch())) {
            batch.markRecorded(found.revision());
            return true;
        }
        abandon(batch);
        if (readFloor() > existing.number()) {
            table = Optional.empty();
        } else {
            loadedTable().add(existing, found.revision(), time.nanoTime());
        }
        return false;
    }

    /** Completes a recorded segment; returns false if it is void because retention had already deleted its number. */
    private boolean confirm(ClaimBatch batch) throws KvException {
        if (readFloor() > batch.segment().number()) {
            abandon(batch);
            table = Optional.empty();
            return false;
        }
        loadedTable().add(batch.segment(), batch.revision(), time.nanoTime());
        long now = time.nanoTime();
        for (QueuedEntry entry : batch.queuedEntries()) {
            if (!entry.isExpired(now)) {
                entry.complete(new ClaimResult.Claimed(entry.claim()));
            }
        }
        answerExpiredAsUnsettled(batch, now);
        pendingBatch = Optional.empty();
        return true;
    }

    /** Abandons a segment that is certain not to be part of the log and requeues its unanswered entries. */
    private void abandon(ClaimBatch batch) {
        if (batch.state() != ClaimBatch.State.UNWRITTEN) {
            answerExpiredAsUnsettled(batch, time.nanoTime());
        }
        queue.requeue(batch.queuedEntries());
        pendingBatch = Optional.empty();
    }

    /** Requeues the pending entries if no attempt to write them can take effect. */
    private void requeueUnwritten() {
        pendingBatch.ifPresent(batch -> {
            if (batch.state() == ClaimBatch.State.UNWRITTEN) {
                abandon(batch);
            }
        });
    }

    /** Answers expired claims: queued ones as not claimed, those of the pending batch as unsettled. */
    private void answerExpired() {
        long now = time.nanoTime();
        queue.answerExpired(now);
        pendingBatch.ifPresent(batch -> answerExpiredAsUnsettled(batch, now));
    }

    /** Answers the expired claims of a batch, whose segment may still become part of the log. */
    private static void answerExpiredAsUnsettled(ClaimBatch batch, long nowNanos) {
        for (QueuedEntry entry : batch.queuedEntries()) {
            if (entry.isExpired(nowNanos)) {
                entry.complete(new ClaimResult.Unsettled(
                        "segment " + batch.segment().number() + " was not confirmed before the deadline"));
            }
        }
    }

    /** Returns the claim table, loading it from the log if necessary. */
    private ClaimTable loadedTable() throws KvException {
        if (table.isEmpty()) {
            table = Optional.of(loadTable());
        }
        return table.get();
    }

    /**
     * Loads the log with a scan. The floor and the segments must be of one revision, since segments below the floor are
     * void; if the scan finds a different floor than was read before it, the log is read again.
     */
    private ClaimTable loadTable() throws KvException {
        while (true) {
            ClaimTable loadingTable = new ClaimTable();
            loadingTable.raiseFloor(readFloor());
            AtomicLong scannedFloor = new AtomicLong(1);
            store.scan(keys.prefix(), entry -> {
                if (entry.key().equals(keys.floorKey())) {
                    scannedFloor.set(ClaimKeys.decodeFloor(entry.value()));
                } else {
                    addSegment(loadingTable, entry);
                }
            });
            if (scannedFloor.get() == loadingTable.floor()) {
                return loadingTable;
            }
        }
    }

    /** Adds a scanned segment to the table, or registers it for deletion if it is below the floor. */
    private void addSegment(ClaimTable loadingTable, KvEntry entry) throws KvCorruptException {
        ClaimSegment segment = codec.decode(entry.value());
        if (segment.number() < loadingTable.floor()) {
            loadingTable.addObsoleteSegment(segment.number(), entry.revision());
        } else {
            loadingTable.add(segment, entry.revision(), time.nanoTime());
        }
    }

    /** Reads the floor from the store; 1 if retention has never deleted a segment. */
    private long readFloor() throws KvException {
        return store.get(keys.floorKey())
                .map(entry -> ClaimKeys.decodeFloor(entry.value()))
                .orElse(1L);
    }

    /** Raises the stored floor unless another writer changes it at the same time; then applies the stored floor. */
    private void raiseFloor(ClaimTable claimTable, long newFloor) throws KvException {
        if (newFloor <= claimTable.floor()) {
            return;
        }
        Optional<KvEntry> current = store.get(keys.floorKey());
        long floor = current.map(entry -> ClaimKeys.decodeFloor(entry.value())).orElse(1L);
        if (floor < newFloor) {
            Expectation expected = current.map(entry -> Expectation.atRevision(entry.revision()))
                    .orElseGet(Expectation::absent);
            WriteOutcome outcome = store.put(keys.floorKey(), ClaimKeys.encodeFloor(newFloor), expected);
            floor = outcome instanceof WriteOutcome.Applied ? newFloor : readFloor();
        }
        claimTable.raiseFloor(floor);
    }

    /** Deletes the segments below the floor from the store; returns their number. */
    private int deleteObsoleteSegments(ClaimTable claimTable) throws KvException {
        int deleted = 0;
        for (Map.Entry<Long, Long> obsolete : claimTable.obsoleteSegments().entrySet()) {
            store.delete(keys.segmentKey(obsolete.getKey()), Expectation.atRevision(obsolete.getValue()));
            claimTable.removeObsoleteSegment(obsolete.getKey());
            deleted++;
        }
        return deleted;
    }
}
