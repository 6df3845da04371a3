package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Leader;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.runtime.event.EventLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Mirrors the registered nodes and the elected leader from the store into the fleet view. Thread-safe. */
public final class PeerFollower implements StoreFollower.Listener {
    private static final EventLog LOG = EventLog.of(PeerFollower.class);
    /** Time after an outage of the store in which nodes can renew their entries. */
    private static final long OUTAGE_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final FleetView fleet;
    private final OutageTolerantEntries<Peer> peers = OutageTolerantEntries.withGracePeriod(OUTAGE_GRACE_NANOS);
    private Optional<Leader> leader = Optional.empty();

    private PeerFollower(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns a listener for the keys below {@link NodeKeys#PREFIX}. */
    public static PeerFollower of(FleetView fleet) {
        return new PeerFollower(fleet);
    }

    @Override
    public synchronized void onSnapshot(KvRange range) {
        Optional<Leader> before = leader;
        leader = Optional.empty();
        range.entries().forEach(this::applyEntry);
        Set<String> listed = range.entries().stream().map(KvEntry::key).collect(Collectors.toSet());
        peers.retain(listed, System.nanoTime());
        publish(before);
    }

    @Override
    public synchronized void onChanges(List<KvChange> changes) {
        Optional<Leader> before = leader;
        for (KvChange change : changes) {
            switch (change) {
                case KvChange.Written written -> applyEntry(written.entry());
                case KvChange.Deleted deleted -> remove(deleted.key());
            }
        }
        publish(before);
    }

    private void applyEntry(KvEntry entry) {
        try {
            Peer peer = NodeRecordCodec.decode(entry.value());
            if (entry.key().equals(NodeKeys.LEADER)) {
                leader = Optional.of(new Leader(peer.node(), peer.linkAddress(), entry.revision()));
            } else {
                peers.put(entry.key(), peer);
            }
        } catch (UnreadableException e) {
            LOG.write(NodeEvent.ENTRY_UNREADABLE, entry.key(), entry.revision(), e.getMessage());
        }
    }

    @Override
    public synchronized void onUnavailable() {
        peers.storeUnavailable(System.nanoTime());
    }

    /** Removes nodes whose entries vanished around an outage and were not written again; to be called regularly. */
    public synchronized void expire() {
        if (!peers.expire(System.nanoTime()).isEmpty()) {
            publish(leader);
        }
    }

    private void remove(String key) {
        peers.remove(key, System.nanoTime());
        if (key.equals(NodeKeys.LEADER)) {
            leader = Optional.empty();
        }
    }

    private void publish(Optional<Leader> before) {
        if (!leader.equals(before)) {
            LOG.write(
                    NodeEvent.LEADER_CHANGED,
                    leader.map(Leader::node).orElse("-"),
                    leader.map(Leader::term).orElse(0L));
        }
        Map<String, Peer> byName = new HashMap<>();
        peers.entries().values().forEach(peer -> byName.put(peer.node(), peer));
        Optional<Leader> currentLeader = leader;
        fleet.update(now -> now.withPeers(byName, currentLeader));
    }
}
