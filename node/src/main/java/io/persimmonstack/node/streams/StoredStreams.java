package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.store.AbandonedValues;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.StoreFollower;
import io.persimmonstack.node.store.StoredValue;
import java.util.Optional;

/**
 * What the nodes leave in the store so that streams can be resumed after all nodes were killed at once: the software
 * versions of each service and, while there are several, where streams began. Thread-safe.
 */
public final class StoredStreams implements StreamArchive, AutoCloseable {
    /** Time for which a node's record outlives the node; longer than any stream. */
    private static final int RECORD_KEPT_MS = 180_000;
    /** Pause between two writes of one node; it grows with their number, so that all write 100 times a second. */
    private static final int MIN_WRITE_INTERVAL_MS = 200;

    private static final int WRITE_INTERVAL_MS_PER_NODE = 10;

    private final RecentVersions versions = RecentVersions.create();
    private final StoredOrigins origins = StoredOrigins.create();
    private final FleetView fleet;
    private final StoredValue record;
    private final AbandonedValues records;
    private final OriginPublisher publisher;

    private StoredStreams(String node, KvStore store, FleetView fleet) {
        this.fleet = fleet;
        this.publisher = OriginPublisher.of(node, this::writeRecord);
        this.record = StoredValue.start(
                store, NodeKeys.streams(node), this::writeIntervalMs, () -> publisher.record(System.nanoTime()));
        this.records = AbandonedValues.of(
                StreamRecordFollower.of(origins, versions, publisher, System::nanoTime),
                NodeKeys.STREAMS,
                RECORD_KEPT_MS,
                store,
                node,
                () -> fleet.current().peers().keySet(),
                System::nanoTime);
    }

    /**
     * Starts to leave this node's streams in the store.
     *
     * @param node name of this node
     * @param store the store
     * @param fleet lists the runners and the nodes
     */
    public static StoredStreams start(String node, KvStore store, FleetView fleet) {
        StoredStreams streams = new StoredStreams(node, store, fleet);
        fleet.onChange(streams::observeRunners);
        streams.records.start();
        return streams;
    }

    private void writeRecord() {
        record.changed();
    }

    private int writeIntervalMs() {
        return Math.max(
                MIN_WRITE_INTERVAL_MS,
                WRITE_INTERVAL_MS_PER_NODE * fleet.current().peers().size());
    }

    private void observeRunners() {
        versions.observe(fleet.current().runners().values(), System.nanoTime());
        forgetVersions();
    }

    /** Forgets versions whose runners left long ago; to be called regularly. */
    public void forgetVersions() {
        publisher.updateVersions(versions.known(System.nanoTime()));
    }

    /** Returns the listener for the keys below {@link NodeKeys#STREAMS}. */
    public StoreFollower.Listener follower() {
        return records;
    }

    /** Returns the software versions that the services have, or had lately. */
    public RecentVersions versions() {
        return versions;
    }

    @Override
    public void add(DeliveredStream stream) {
        publisher.add(stream, System.nanoTime());
    }

    @Override
    public void recordUntold(String service) {
        versions.recordUntold(service, System.nanoTime());
        forgetVersions();
    }

    @Override
    public Optional<StreamOrigin> find(String request) {
        return origins.find(request, System.nanoTime());
    }

    @Override
    public void close() {
        record.close();
        records.close();
    }
}
