package io.persimmonstack.node.streams;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;

/**
 * Sends copies of origins to other nodes. One thread owns the schedule; each call runs on a thread of its own, so that
 * a node that does not answer delays no other. What is added during a call goes with the next one.
 */
final class CopySender implements AutoCloseable {
    /** Number of streams that may wait to be scheduled; further ones are not copied. */
    static final int MAX_QUEUED = 4_096;

    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(CopySender.class));
    private static final int CALL_TIMEOUT_MS = 200;
    /** Interval at which copies are renewed and failed calls are repeated. */
    private static final int RENEW_INTERVAL_MS = 100;

    private final FleetView fleet;
    private final StreamOrigins local;
    private final ThriftPeers<NodeLink.Client> links;
    private final NodeMetrics metrics;
    private final CopySchedule schedule;
    private final IdleLinks idleLinks = IdleLinks.create();
    private final Queue<DeliveredStream> added = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final Queue<FinishedCall> finishedCalls = new ConcurrentLinkedQueue<>();
    private final LongAdder droppedUnlogged = new LongAdder();
    private final WakeableThread thread = WakeableThread.of("origin-copies", () -> RENEW_INTERVAL_MS, this::sendDue);
    private volatile Map<String, Peer> scheduledPeers = Map.of();

    private record FinishedCall(CopySchedule.Batch batch, boolean confirmed) {}

    private CopySender(
            String self,
            FleetView fleet,
            StreamOrigins local,
            ThriftPeers<NodeLink.Client> links,
            NodeMetrics metrics) {
        this.fleet = fleet;
        this.local = local;
        this.links = links;
        this.metrics = metrics;
        this.schedule = CopySchedule.of(self);
    }

    /**
     * Creates a sender that is not started.
     *
     * @param self name of this node
     * @param fleet lists the other nodes
     * @param local this node's own origins, which are renewed together with the copies
     * @param links connections to other nodes
     * @param metrics counts the copies
     */
    static CopySender of(
            String self,
            FleetView fleet,
            StreamOrigins local,
            ThriftPeers<NodeLink.Client> links,
            NodeMetrics metrics) {
        return new CopySender(self, fleet, local, links, metrics);
    }

    /** Starts the thread, which runs until the sender is closed. */
    void start() {
        fleet.onChange(this::onFleetChange);
        thread.start();
    }

    /** Queues the copies of a stream; drops them if too many streams are queued. Never blocks. */
    void add(DeliveredStream stream) {
        if (added.offer(stream)) {
            thread.wake();
        } else {
            metrics.recordOriginCopiesDropped(OriginHolders.COPIES);
            droppedUnlogged.add(OriginHolders.COPIES);
        }
    }

    private void onFleetChange() {
        if (fleet.current().peers() != scheduledPeers) {
            thread.wake();
        }
    }

    private void sendDue() {
        try {
            long nowNanos = System.nanoTime();
            for (FinishedCall call = finishedCalls.poll(); call != null; call = finishedCalls.poll()) {
                schedule.finished(call.batch(), call.confirmed(), nowNanos);
                recordFinished(call, nowNanos);
            }
            updatePeers(fleet.current().peers(), nowNanos);
            for (DeliveredStream stream = added.poll(); stream != null; stream = added.poll()) {
                schedule.add(stream, nowNanos);
            }
            schedule.renew(nowNanos)
                    .forEach(stream -> local.keep(stream.request(), stream.origin(), stream.validMs(), nowNanos));
            schedule.takeBatches(nowNanos)
                    .forEach(batch -> Thread.ofVirtual().name("origin-copy").start(() -> send(batch)));
            idleLinks.takeIdle(nowNanos).forEach(links::evict);
            recordDropped(schedule.takeDropped());
            logDropped();
        } catch (RuntimeException e) {
            LOG.write(NodeEvent.ORIGIN_COPIES_ERROR, e.toString(), e);
        }
    }

    private void updatePeers(Map<String, Peer> listed, long nowNanos) {
        if (listed == scheduledPeers) {
            return;
        }
        scheduledPeers.values().stream()
                .filter(peer -> !peer.equals(listed.get(peer.node())))
                .forEach(left -> links.evict(left.linkAddress()));
        schedule.updatePeers(listed, nowNanos);
        scheduledPeers = listed;
    }

    private void send(CopySchedule.Batch batch) {
        boolean confirmed = false;
        try {
            List<io.persimmonstack.wire.gen.StreamOrigin> messages =
                    batch.copies().stream().map(OriginMessages::toMessage).toList();
            confirmed = links.call(batch.holder().linkAddress(), CALL_TIMEOUT_MS, client -> {
                client.keepOrigins(messages);
                return true;
            });
        } catch (WireException e) {
            LOG.write(
                    NodeEvent.ORIGIN_HOLDER_SILENT,
                    batch.holder().node(),
                    batch.copies().size(),
                    e.toString());
        } finally {
            finishedCalls.add(new FinishedCall(batch, confirmed));
            thread.wake();
        }
    }

    private void recordFinished(FinishedCall call, long nowNanos) {
        idleLinks.recordCall(call.batch().holder().linkAddress(), nowNanos);
        if (call.confirmed()) {
            metrics.recordOriginCopiesSent(call.batch().copies().size());
        }
    }

    private void recordDropped(long copies) {
        if (copies > 0) {
            metrics.recordOriginCopiesDropped(copies);
            droppedUnlogged.add(copies);
        }
    }

    /** Logs drops on this thread, since those who add streams must not wait for the log. */
    private void logDropped() {
        long copies = droppedUnlogged.sumThenReset();
        if (copies > 0) {
            LOG.write(NodeEvent.ORIGIN_COPIES_DROPPED, copies);
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}
