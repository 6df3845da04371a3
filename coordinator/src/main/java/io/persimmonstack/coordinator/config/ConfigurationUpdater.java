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
 * Brings new configuration versions to this node. A few nodes in each zone watch the configuration's head in the
 * key-value store. The other nodes learn of a new version by gossip and fetch it from the peer that announced it. Every
 * node also reads the head periodically, in case a watch or a message was lost.
 */
public final class ConfigurationUpdater implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigurationUpdater.class);
    private static final int FETCH_TIMEOUT_MS = 2_000;
    private static final int READ_ATTEMPTS = 2;
    private static final String WATCHER_HASH_KEY_PREFIX = "configuration-watch/";
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final KvStore kv;
    private final ConfigurationStore store;
    private final ThriftPeers<Coordinator.Client> peers;
    /** The watch opened last, which may have ended; null while this node does not watch. */
    private final AtomicReference<OpenWatch> watch = new AtomicReference<>();

    private final AtomicBoolean fetchInProgress = new AtomicBoolean();

    private ConfigurationUpdater(
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
     * Creates an updater that does not watch yet.
     *
     * @param feed receives new configurations
     * @param kv key-value store, for the watch
     * @param store reads committed configurations
     * @param peers connections to other coordinators
     * @return the updater
     */
    public static ConfigurationUpdater of(
            ConfigurationFeed<FleetConfiguration> feed,
            KvStore kv,
            ConfigurationStore store,
            ThriftPeers<Coordinator.Client> peers) {
        return new ConfigurationUpdater(feed, kv, store, peers);
    }

    /**
     * Reads the head, and the content if it is newer than the active version. Failures are logged. A failed read is
     * repeated at once: its connection may have fallen silent, and the next read is due only after an interval.
     */
    public void refresh() {
        boolean read = false;
        for (int attempt = 0; !read && attempt < READ_ATTEMPTS; attempt++) {
            read = tryRefresh();
        }
    }

    private boolean tryRefresh() {
        try {
            feed.refresh(store);
            return true;
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
            return false;
        }
    }

    /**
     * Opens the watch if this node is one of the watchers of its zone, and closes it otherwise. All nodes choose the
     * watchers by the same rendezvous ranking, without a call.
     *
     * @param self membership entry of this node
     * @param liveMembers live members, this node included
     * @param watchersPerZone number of nodes in a zone that watch
     */
    public void updateWatch(
            Member<NodeAttributes> self, Collection<Member<NodeAttributes>> liveMembers, int watchersPerZone) {
        String zone = self.locality().zone();
        List<String> zoneNodes = liveMembers.stream()
                .filter(member -> member.locality().zone().equals(zone))
                .map(Member::node)
                .toList();
        int rank =
                RendezvousHash.ranked(WATCHER_HASH_KEY_PREFIX + zone, zoneNodes).indexOf(self.node());
        boolean shouldWatch = rank >= 0 && rank < watchersPerZone;
        OpenWatch current = watch.get();
        if (shouldWatch && (current == null || current.watcher().ended)) {
            openWatch();
        } else if (!shouldWatch) {
            closeWatch(watch.getAndSet(null));
        }
    }

    private void openWatch() {
        try {
            long fromRevision = kv.list(ConfigurationStore.HEAD_KEY).revision() + 1;
            refresh();
            HeadWatcher watcher = new HeadWatcher();
            KvSubscription subscription = kv.watch(ConfigurationStore.HEAD_KEY, fromRevision, watcher);
            watch.set(new OpenWatch(subscription, watcher));
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
        }
    }

    private static void closeWatch(OpenWatch openWatch) {
        if (openWatch != null) {
            openWatch.subscription().close();
        }
    }

    /**
     * Fetches the configuration from a peer in the background if the peer's version is newer than the active one.
     * Does nothing while another fetch is in progress.
     *
     * @param version configuration version of the peer
     * @param address address of the peer
     */
    public void fetchIfNewer(long version, String address) {
        if (version > feed.current().version() && fetchInProgress.compareAndSet(false, true)) {
            Thread.ofVirtual().name("configuration-fetch").start(() -> fetch(address));
        }
    }

    private void fetch(String address) {
        try {
            long knownVersion = feed.current().version();
            ConfigurationAnswer answer = peers.call(
                    PeerAddress.parse(address), FETCH_TIMEOUT_MS, client -> client.configuration(knownVersion));
            if (answer.isSetContent()) {
                feed.offer(answer.getVersion(), answer.getContent());
            }
        } catch (WireException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_READ_FAILED, e.getMessage());
        } finally {
            fetchInProgress.set(false);
        }
    }

    /**
     * Answers a peer's request for the configuration.
     *
     * @param knownVersion active version of the peer
     * @return the active version, with its content only if it is newer than the peer's
     */
    public ConfigurationAnswer answerPeer(long knownVersion) {
        ConfigurationFeed.ActiveConfiguration<FleetConfiguration> active = feed.current();
        ConfigurationAnswer answer = new ConfigurationAnswer(active.version());
        if (active.version() > knownVersion) {
            answer.setContent(active.content());
        }
        return answer;
    }

    @Override
    public void close() {
        closeWatch(watch.getAndSet(null));
    }

    private record OpenWatch(KvSubscription subscription, HeadWatcher watcher) {}

    private final class HeadWatcher implements KvWatcher {
        /** Whether the watch has ended; it may end before the call that opens it returns. */
        private volatile boolean ended;

        @Override
        public void changed(KvChange change) {
            Thread.ofVirtual().name("configuration-refresh").start(ConfigurationUpdater.this::refresh);
        }

        @Override
        public void ended(KvException cause) {
            ended = true;
        }
    }
}
