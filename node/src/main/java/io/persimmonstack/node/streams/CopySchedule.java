package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.Peer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which copies of origins are to be sent to which nodes: for a new stream, when the nodes that rank first for
 * it have changed, before the copies are no longer valid, and after a failed call. The caller supplies the time. Not
 * thread-safe.
 */
final class CopySchedule {
    /** Number of streams whose copies are tracked; further ones are not copied. */
    static final int MAX_STREAMS = 20_000;
    /** Largest number of copies in one call. */
    static final int MAX_BATCH = 1_000;
    /** Number of copies that may wait for one node; further ones are dropped until the stream is renewed. */
    static final int MAX_WAITING = 4_000;
    /** Pause after a failed call before the next one to the same node. */
    static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Copies are renewed after this part of their validity, so that one renewal may be late. */
    private static final int VALIDITY_PARTS = 3;

    private final String self;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<Peer, HolderQueue> queues = new HashMap<>();
    private Map<String, Peer> peers = Map.of();
    private long dropped;

    /** Stream with the state of its copies. */
    private static final class Entry {
        private final DeliveredStream stream;
        private List<Peer> holders = List.of();
        /** Holders that have not confirmed the copy, which waits for them or is on its way. */
        private final Set<Peer> unconfirmed = new HashSet<>();

        private long renewAtNanos;
        private long validUntilNanos;

        private Entry(DeliveredStream stream, long nowNanos) {
            this.stream = stream;
            extend(nowNanos);
        }

        private void extend(long nowNanos) {
            long validNanos = TimeUnit.MILLISECONDS.toNanos(stream.validMs());
            validUntilNanos = nowNanos + validNanos;
            renewAtNanos = nowNanos + validNanos / VALIDITY_PARTS;
        }

        private boolean isValid(long nowNanos) {
            return validUntilNanos - nowNanos > 0;
        }

        /** Returns whether the stream has ended and no copy of it is due any more. */
        private boolean isDone(long nowNanos) {
            return stream.hasEnded() && (unconfirmed.isEmpty() || !isValid(nowNanos));
        }

        private OriginCopy copy(long nowNanos) {
            return new OriginCopy(
                    stream.request(),
                    stream.origin(),
                    Math.ceilDiv(validUntilNanos - nowNanos, TimeUnit.MILLISECONDS.toNanos(1)));
        }
    }

    /** Copies that wait for one node; at most one call to it is in progress. */
    private static final class HolderQueue {
        private final Deque<Entry> waiting = new ArrayDeque<>();
        private boolean callInProgress;
        private long notBeforeNanos;
    }

    /** Copies to be sent to one node in one call. */
    static final class Batch {
        private final Peer holder;
        private final List<Entry> entries;
        private final List<OriginCopy> copies;

        private Batch(Peer holder, List<Entry> entries, List<OriginCopy> copies) {
            this.holder = holder;
            this.entries = entries;
            this.copies = copies;
        }

        /** Returns the node to send them to. */
        Peer holder() {
            return holder;
        }

        /** Returns the copies. */
        List<OriginCopy> copies() {
            return copies;
        }
    }

    private CopySchedule(String self) {
        this.self = self;
    }

    /** Returns an empty schedule of the node with the given name. */
    static CopySchedule of(String self) {
        return new CopySchedule(self);
    }

    /** Adds a stream; its copies are due at once. */
    void add(DeliveredStream stream, long nowNanos) {
        if (entries.size() >= MAX_STREAMS) {
            dropped += OriginHolders.COPIES;
            return;
        }
        Entry entry = new Entry(stream, nowNanos);
        entries.add(entry);
        assignHolders(entry, nowNanos);
    }

    /** Takes the listed nodes; copies go to nodes that rank first for a stream now and did not before. */
    void updatePeers(Map<String, Peer> listed, long nowNanos) {
        if (listed.equals(peers)) {
            return;
        }
        peers = listed;
        queues.keySet().removeIf(holder -> !holder.equals(listed.get(holder.node())));
        entries.removeIf(entry -> entry.isDone(nowNanos));
        entries.forEach(entry -> assignHolders(entry, nowNanos));
    }

    private void assignHolders(Entry entry, long nowNanos) {
        List<Peer> before = entry.holders;
        entry.holders = OriginHolders.ranked(entry.stream.request(), peers, self, OriginHolders.COPIES);
        entry.unconfirmed.retainAll(entry.holders);
        entry.holders.stream()
                .filter(holder -> !before.contains(holder))
                .forEach(holder -> enqueue(entry, holder, nowNanos));
    }

    private void enqueue(Entry entry, Peer holder, long nowNanos) {
        HolderQueue queue = queues.computeIfAbsent(holder, ignored -> new HolderQueue());
        if (queue.waiting.size() >= MAX_WAITING) {
            dropped++;
        } else if (entry.isValid(nowNanos)) {
            entry.unconfirmed.add(holder);
            queue.waiting.add(entry);
        }
    }

    /**
     * Renews the copies of streams that are still delivered, and forgets streams that have ended and are copied.
     *
     * @return the renewed streams
     */
    List<DeliveredStream> renew(long nowNanos) {
        List<DeliveredStream> renewed = new ArrayList<>();
        for (Iterator<Entry> remaining = entries.iterator(); remaining.hasNext(); ) {
            Entry entry = remaining.next();
            if (entry.isDone(nowNanos)) {
                remaining.remove();
            } else if (!entry.stream.hasEnded() && entry.renewAtNanos - nowNanos <= 0) {
                entry.extend(nowNanos);
                renewed.add(entry.stream);
                entry.holders.stream()
                        .filter(holder -> !entry.unconfirmed.contains(holder))
                        .forEach(holder -> enqueue(entry, holder, nowNanos));
            }
        }
        return renewed;
    }

    /** Returns what to send now, one batch a node; none to one with a call in progress or that failed just before. */
    List<Batch> takeBatches(long nowNanos) {
        List<Batch> batches = new ArrayList<>();
        queues.forEach((holder, queue) -> {
            if (queue.callInProgress || queue.notBeforeNanos - nowNanos > 0) {
                return;
            }
            List<Entry> taken = take(holder, queue, nowNanos);
            if (!taken.isEmpty()) {
                queue.callInProgress = true;
                batches.add(new Batch(
                        holder,
                        taken,
                        taken.stream().map(entry -> entry.copy(nowNanos)).toList()));
            }
        });
        return batches;
    }

    private List<Entry> take(Peer holder, HolderQueue queue, long nowNanos) {
        List<Entry> taken = new ArrayList<>();
        while (taken.size() < MAX_BATCH && !queue.waiting.isEmpty()) {
            Entry entry = queue.waiting.poll();
            if (entry.isValid(nowNanos)) {
                taken.add(entry);
            } else {
                entry.unconfirmed.remove(holder);
                dropped++;
            }
        }
        return taken;
    }

    /**
     * Takes the end of a call.
     *
     * @param batch what it was to bring
     * @param confirmed whether the node confirmed it; otherwise it is sent again after a pause
     * @param nowNanos monotonic time
     */
    void finished(Batch batch, boolean confirmed, long nowNanos) {
        if (confirmed) {
            batch.entries.forEach(entry -> entry.unconfirmed.remove(batch.holder));
        }
        HolderQueue queue = queues.get(batch.holder);
        if (queue == null) {
            return;
        }
        queue.callInProgress = false;
        if (!confirmed) {
            queue.notBeforeNanos = nowNanos + RETRY_PAUSE_NANOS;
            batch.entries.reversed().forEach(queue.waiting::addFirst);
        }
    }

    /** Returns the number of copies dropped since the last call. */
    long takeDropped() {
        long count = dropped;
        dropped = 0;
        return count;
    }

    /** Returns the number of streams whose copies are tracked. */
    int size() {
        return entries.size();
    }
}
