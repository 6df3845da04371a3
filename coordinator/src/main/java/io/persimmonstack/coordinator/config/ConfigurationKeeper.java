package io.persimmonstack.coordinator.config;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.ConfigurationAnswer;
import io.persimmonstack.wire.gen.Coordinator;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Brings new configurations to the node. A few nodes of each zone watch the head; the others hear of a version by
 * gossip and fetch it from the peer that told them; everyone reads the head now and then.
 */
public final class ConfigurationKeeper implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigurationKeeper.class);
    private static final int FETCH_TIMEOUT_MS = 2_000;
    private static final String WATCHER_RANK = "configuration-watch/";
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final KvStore kv;
    private final ConfigurationStore store;
    private final ThriftPeers<Coordinator.Client> peers;
    private final AtomicReference<KvSubscription> subscription = new AtomicReference<>();
    private final AtomicBoolean fetching = new AtomicBoolean();

    private ConfigurationKeeper(
            ConfigurationFeed<FleetConfiguration> feed,
            KvStore kv,
            ConfigurationStore store,
            ThriftPeers<Coordinator.Client> peers) {
        this.feed = feed;
        this.kv = kv;
        this.store = store;
        this.peers = peers;
    }

    /**
     * Creates the keeper.
     *
     * @param feed where new configurations go
     * @param kv key-value service, for the watch
     * @param store committed configurations
     * @param peers connections to coordinators
     * @return the keeper
     */
    public static ConfigurationKeeper of(
            ConfigurationFeed<FleetConfiguration> feed,
            KvStore kv,
            ConfigurationStore store,
            ThriftPeers<Coordinator.Client> peers) {
        return new ConfigurationKeeper(feed, kv, store, peers);
    }

    /** Reads the head, and the content where it is newer. */
    public void refresh() {
        try {
            feed.refresh(store);
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
        }
    }

    /**
     * Opens the watch where this node ranks among the watchers of its zone, and closes it where it does not.
     *
     * @param self entry of the node
     * @param live members that are alive
     * @param watchersPerZone nodes of a zone that watch
     */
    public void chooseWatchers(
            Member<NodeAttributes> self, Collection<Member<NodeAttributes>> live, int watchersPerZone) {
        String zone = self.locality().zone();
        List<String> nodes = live.stream()
                .filter(member -> member.locality().zone().equals(zone))
                .map(Member::node)
                .toList();
        int rank = RendezvousHash.ranked(WATCHER_RANK + zone, nodes).indexOf(self.node());
        boolean watches = rank >= 0 && rank < watchersPerZone;
        if (watches && subscription.get() == null) {
            openWatch();
        } else if (!watches) {
            closeWatch(subscription.getAndSet(null));
        }
    }

    private void openWatch() {
        try {
            long from = kv.list(ConfigurationStore.HEAD_KEY).revision() + 1;
            refresh();
            subscription.set(kv.watch(ConfigurationStore.HEAD_KEY, from, new HeadWatcher()));
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
        }
    }

    private static void closeWatch(KvSubscription open) {
        if (open != null) {
            open.close();
        }
    }

    /**
     * Fetches a version that a peer has, unless it is in force here or another fetch is running.
     *
     * @param version version that the peer knows
     * @param address address of the peer
     */
    public void heard(long version, String address) {
        if (version > feed.current().version() && fetching.compareAndSet(false, true)) {
            Thread.ofVirtual().name("configuration-fetch").start(() -> fetch(address));
        }
    }

    private void fetch(String address) {
        try {
            long known = feed.current().version();
            ConfigurationAnswer answer =
                    peers.call(PeerAddress.parse(address), FETCH_TIMEOUT_MS, client -> client.configuration(known));
            if (answer.isSetContent()) {
                feed.offer(answer.getVersion(), answer.getContent());
            }
        } catch (WireException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
        } finally {
            fetching.set(false);
        }
    }

    /**
     * Answers a peer.
     *
     * @param knownVersion version that the peer has
     * @return the version in force here, with its content where the peer has an older one
     */
    public ConfigurationAnswer answer(long knownVersion) {
        ConfigurationFeed.ActiveConfiguration<FleetConfiguration> current = feed.current();
        ConfigurationAnswer answer = new ConfigurationAnswer(current.version());
        if (current.version() > knownVersion) {
            answer.setContent(current.content());
        }
        return answer;
    }

    @Override
    public void close() {
        closeWatch(subscription.getAndSet(null));
    }

    private final class HeadWatcher implements KvWatcher {
        @Override
        public void changed(KvChange change) {
            Thread.ofVirtual().name("configuration-refresh").start(ConfigurationKeeper.this::refresh);
        }

        @Override
        public void ended(KvException cause) {
            subscription.set(null);
        }
    }
}
