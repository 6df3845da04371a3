package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.StoreFollower;
import io.persimmonstack.runtime.event.EventLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Takes what all nodes, also those that have ended, have left in the store about their streams. */
final class StreamRecordFollower implements StoreFollower.Listener {
    private static final EventLog LOG = EventLog.of(StreamRecordFollower.class);

    private final StoredOrigins stored;
    private final RecentVersions versions;
    private final OriginPublisher own;
    private final LongSupplier nanoClock;
    private boolean read;

    private StreamRecordFollower(
            StoredOrigins stored, RecentVersions versions, OriginPublisher own, LongSupplier nanoClock) {
        this.stored = stored;
        this.versions = versions;
        this.own = own;
        this.nanoClock = nanoClock;
    }

    /**
     * Returns a listener for the keys below {@link NodeKeys#STREAMS}.
     *
     * @param stored receives the streams
     * @param versions receives the versions that were known before this process started
     * @param own writes the record of this node, which carries on that of the process before
     * @param nanoClock source of monotonic time
     */
    static StreamRecordFollower of(
            StoredOrigins stored, RecentVersions versions, OriginPublisher own, LongSupplier nanoClock) {
        return new StreamRecordFollower(stored, versions, own, nanoClock);
    }

    @Override
    public void onSnapshot(KvRange range) {
        long nowNanos = nanoClock.getAsLong();
        Map<String, List<VersionStreams>> records = new HashMap<>();
        range.entries()
                .forEach(entry ->
                        decode(entry).ifPresent(streams -> records.put(NodeKeys.nodeOfStreams(entry.key()), streams)));
        records.values().forEach(streams -> stored.add(streams, nowNanos));
        versions.recordDoubt(nowNanos);
        if (!read) {
            read = true;
            versions.startWith(
                    records.values().stream()
                            .flatMap(List::stream)
                            .map(VersionStreams::origin)
                            .toList(),
                    nowNanos);
        }
        own.recordsRead(records, nowNanos);
    }

    @Override
    public void onChanges(List<KvChange> changes) {
        for (KvChange change : changes) {
            switch (change) {
                case KvChange.Written written ->
                    decode(written.entry()).ifPresent(streams -> stored.add(streams, nanoClock.getAsLong()));
                case KvChange.Deleted deleted -> own.recordRemoved(NodeKeys.nodeOfStreams(deleted.key()));
            }
        }
    }

    @Override
    public void onCompleteUpTo(long nanos) {
        versions.recordCompleteUpTo(nanos);
    }

    @Override
    public void onUnavailable() {
        versions.recordDoubt(nanoClock.getAsLong());
    }

    private static Optional<List<VersionStreams>> decode(KvEntry entry) {
        try {
            return Optional.of(StreamRecordCodec.decode(entry.value()));
        } catch (KvCorruptException e) {
            LOG.write(NodeEvent.ENTRY_UNREADABLE, entry.key(), entry.revision(), e.getMessage());
            return Optional.empty();
        }
    }
}
