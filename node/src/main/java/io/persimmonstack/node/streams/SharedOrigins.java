package io.persimmonstack.node.streams;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.gen.NodeLink;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Origins that this node keeps, with copies at {@link OriginHolders#COPIES} other nodes that any node can ask. */
public final class SharedOrigins implements OriginDirectory, AutoCloseable {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(SharedOrigins.class));
    private static final int CONNECT_TIMEOUT_MS = 200;
    /** Time after its start in which a node may not know all others that were there before. */
    private static final long OTHERS_KNOWN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final long startedNanos = System.nanoTime();
    private final StreamOrigins local;
    private final CopySender sender;
    private final OriginLookup lookup;
    private final StreamArchive archive;
    private final NodeMetrics metrics;
    private final Closer closer;

    private SharedOrigins(
            StreamOrigins local,
            CopySender sender,
            OriginLookup lookup,
            StreamArchive archive,
            NodeMetrics metrics,
            Closer closer) {
        this.local = local;
        this.sender = sender;
        this.lookup = lookup;
        this.archive = archive;
        this.metrics = metrics;
        this.closer = closer;
    }

    /**
     * Starts a directory without any origins.
     *
     * @param self name of this node
     * @param fleet lists the other nodes
     * @param archive what nodes have left outside of their memories
     * @param metrics counts copies and lookups
     */
    public static SharedOrigins start(String self, FleetView fleet, StoredStreams archive, NodeMetrics metrics) {
        return start(self, fleet, archive, metrics, OriginLookup.MAX_WAIT_MS);
    }

    /** Starts a directory whose lookups wait at most for the given time, in milliseconds. */
    static SharedOrigins start(
            String self, FleetView fleet, StreamArchive archive, NodeMetrics metrics, long maxLookupMs) {
        Closer closer = Closer.create();
        StreamOrigins local = StreamOrigins.create();
        ThriftPeers<NodeLink.Client> links =
                closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), CONNECT_TIMEOUT_MS));
        CopySender sender = closer.add(CopySender.of(self, fleet, local, links, metrics));
        sender.start();
        OriginLookup lookup = OriginLookup.of(self, fleet, links, maxLookupMs);
        return new SharedOrigins(local, sender, lookup, archive, metrics, closer);
    }

    @Override
    public KeptOrigin keep(String request, StreamOrigin origin, long validMs) {
        DeliveredStream stream = DeliveredStream.of(request, origin, validMs);
        if (OriginHandler.isAcceptable(request, origin)) {
            local.keep(request, origin, validMs, System.nanoTime());
            sender.add(stream);
            archive.add(stream);
        }
        return stream;
    }

    @Override
    public void recordUntold(String service) {
        archive.recordUntold(service);
    }

    @Override
    public Optional<StreamOrigin> find(String request) throws InterruptedException {
        return search(request).origin();
    }

    @Override
    public Search search(String request) throws InterruptedException {
        long startedNanos = System.nanoTime();
        if (!OriginHandler.isAcceptable(request)) {
            metrics.recordOriginLookup("unknown");
            LOG.write(NodeEvent.ORIGIN_LOOKUP, "(" + request.length() + " characters)", "unknown", "-", "-", 0, 0, 0);
            return new Search(Optional.empty(), true);
        }
        Optional<StreamOrigin> known = local.find(request, startedNanos);
        if (known.isPresent()) {
            record(request, "local", known, OriginLookup.Result.none(), startedNanos);
            return new Search(known, false);
        }
        Optional<StreamOrigin> stored = archive.find(request);
        if (stored.isPresent()) {
            record(request, "stored", stored, OriginLookup.Result.none(), startedNanos);
            return new Search(stored, false);
        }
        OriginLookup.Result result = lookup.ask(request);
        result.copy().ifPresent(copy -> local.keep(request, copy.origin(), copy.validMs(), System.nanoTime()));
        Optional<StreamOrigin> found = local.find(request, System.nanoTime());
        record(request, found.isPresent() ? "elsewhere" : "unknown", found, result, startedNanos);
        return new Search(found, result.allAnswered() && knowsOthers());
    }

    /** Returns whether this node has been there for long enough to know all other nodes. */
    private boolean knowsOthers() {
        return System.nanoTime() - startedNanos > OTHERS_KNOWN_AFTER_NANOS;
    }

    private void record(
            String request,
            String outcome,
            Optional<StreamOrigin> origin,
            OriginLookup.Result result,
            long startedNanos) {
        metrics.recordOriginLookup(outcome);
        LOG.write(
                NodeEvent.ORIGIN_LOOKUP,
                request,
                outcome,
                result.holder(),
                origin.map(StreamOrigin::softwareVersion).orElse("-"),
                result.asked(),
                result.answered(),
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos));
    }

    /** Returns the handler for the calls of other nodes. */
    public OriginHandler handler() {
        return OriginHandler.of(local, System::nanoTime);
    }

    /** Returns the number of origins kept here, own ones and copies, including some that are no longer valid. */
    public int size() {
        return local.size();
    }

    @Override
    public void close() {
        closer.close();
    }
}
