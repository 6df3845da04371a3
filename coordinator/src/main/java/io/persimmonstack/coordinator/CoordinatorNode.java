package io.persimmonstack.coordinator;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.RefusedInputs;
import io.persimmonstack.backends.peer.PeerTrust;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.grant.CapHistory;
import io.persimmonstack.coordination.grant.GrantCodecs;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.membership.MembershipListener;
import io.persimmonstack.coordination.membership.MembershipOptions;
import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.config.ConfigurationUpdater;
import io.persimmonstack.coordinator.explain.FleetExplainer;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.load.DemandStatisticsReplicator;
import io.persimmonstack.coordinator.load.DemandTracker;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadRequestHandler;
import io.persimmonstack.coordinator.load.Preloader;
import io.persimmonstack.coordinator.load.SlotPreallocator;
import io.persimmonstack.coordinator.load.StorePermits;
import io.persimmonstack.coordinator.load.UseReportForwarder;
import io.persimmonstack.coordinator.runner.RunnerAgentContext;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.LocalRouterMonitor;
import io.persimmonstack.coordinator.view.OperatorCommands;
import io.persimmonstack.coordinator.view.SnapshotPublisher;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** A running coordinator process: creates and connects its components and runs their periodic tasks. */
final class CoordinatorNode implements RunningProgram {
    private static final EventLog LOG = EventLog.of(CoordinatorNode.class);
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final long HAND_OVER_POLL_MS = 200;
    private static final long RECONCILE_INTERVAL_MS = 30_000;
    private static final long SLOT_PREALLOCATION_INTERVAL_MS = 2_000;
    private static final long CATALOGUE_RETRY_INTERVAL_MS = 2_000;
    private static final long WATCHER_CHECK_INTERVAL_MS = 2_000;
    private static final long ROUTER_CHECK_INTERVAL_MS = 500;
    private final CoordinatorSettings settings;
    private final ProgramContext context;
    private final TimeSource time = TimeSource.system();
    private final Random random = new Random();
    private final PlatformClients platform;
    private final ThriftPeers<Coordinator.Client> peers;
    private final ThriftServer server;
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final UpdatePusher updatePusher;
    private final FleetView view;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ConfigurationUpdater configurationUpdater;
    private final SnapshotPublisher snapshots;
    private final HostListReader hostListReader;
    private final CapHistory capHistory = CapHistory.create();
    private final WeightCatalogueCache catalogueCache;
    private final StorePermits permits;
    private final GrantReader grantReader;
    private final DemandTracker demandTracker;
    private final Preloader preloader;
    private final SlotPreallocator slotPreallocator;
    private final DemandStatisticsReplicator demandReplicator;
    private final Runners runners;
    private final LocalRouterMonitor localRouterMonitor;
    private final LoadHistory loadHistory = LoadHistory.create();
    private final PeriodicTasks tasks;
    /** False until the constructor has finished; listeners may be called earlier, when components are still null. */
    private volatile boolean started;

    private CoordinatorNode(CoordinatorSettings settings, ProgramContext context, PlatformClients platform)
            throws WireException, ProgramException {
        this.settings = settings;
        this.context = context;
        this.platform = platform;
        MetricRegistry metrics = context.metrics();
        PeerSecurity security = PeerTrust.of(settings.peerTls(), context.closer());
        this.peers = context.closer()
                .add(ThriftPeers.of(new Coordinator.Client.Factory(), settings.probeTimeoutMs(), security));
        DeferredProcessor processor = new DeferredProcessor();
        this.server = ThriftServer.start(
                PeerAddress.parse(settings.address()),
                processor,
                security,
                RefusedInputs.of(metrics).linkLimits());
        this.feed = ConfigurationFeed.of(
                FleetConfiguration.empty(), CoordinatorNode::decodeConfiguration, this::applyConfiguration);
        ConfigurationStore store = ConfigurationStore.of(platform.kv(), ConfigurationHeadCodec.create(), time);
        this.configurationUpdater = ConfigurationUpdater.of(feed, platform.kv(), store, peers);
        this.membership = Membership.of(
                ownEntry(),
                membershipOptions(),
                time,
                random,
                ThriftGossip.of(peers, settings.probeTimeoutMs(), metrics),
                new MembershipChangeListener());
        this.updatePusher = new UpdatePusher(membership);
        this.view = FleetView.of(membership);
        this.snapshots = SnapshotPublisher.of(view, feed, time.currentTimeMillis());
        this.hostListReader = HostListReader.of(platform, view, snapshots);
        this.catalogueCache = WeightCatalogueCache.of(platform.weightStore());
        this.localRouterMonitor = LocalRouterMonitor.of(membership, time);
        joinFleet();
        this.permits = StorePermits.of(view, catalogueCache, peers, time);
        this.grantReader = GrantReader.of(platform.kv(), CODECS);
        this.demandTracker = createDemandTracker();
        this.runners = Runners.of(runnerAgentContext(), grantReader, view, peers, settings.suspicionTimeoutMs());
        this.preloader = Preloader.of(view, runners, catalogueCache, demandTracker, feed, peers, time);
        this.slotPreallocator = SlotPreallocator.of(view, runners, catalogueCache, feed);
        this.demandReplicator = DemandStatisticsReplicator.of(view, demandTracker, peers, time);
        this.tasks = PeriodicTasks.create(random);
        processor.setDelegate(new Coordinator.Processor<Coordinator.Iface>(createService()));
        registerMetrics(metrics);
    }

    /** Binds the port, joins the fleet and starts the tasks; fails if the port or the TLS files cannot be used. */
    static CoordinatorNode start(CoordinatorSettings settings, ProgramContext context, PlatformClients platform)
            throws ProgramException {
        try {
            CoordinatorNode node = new CoordinatorNode(settings, context, platform);
            node.started = true;
            node.startTasks();
            return node;
        } catch (WireException e) {
            throw new ProgramException(e.getMessage(), e);
        }
    }

    String address() {
        return membership.self().address();
    }

    Map<String, String> acquisitionObstacles() {
        return runners.obstacles();
    }

    Set<LoadKey> modelsWithDemandStatistics() {
        return demandTracker.observedKeys();
    }

    /** Returns this node's initial membership entry, with the start time as incarnation so a later process wins. */
    private Member<NodeAttributes> ownEntry() {
        String address = new PeerAddress(PeerAddress.parse(settings.address()).ip(), server.port()).toString();
        return new Member<>(
                settings.node(),
                time.currentTimeMillis(),
                1,
                MemberStatus.ALIVE,
                new Locality(settings.zone(), settings.region()),
                address,
                NodeAttributes.withoutRouter());
    }

    private MembershipOptions membershipOptions() {
        MembershipOptions defaults = MembershipOptions.defaults();
        return new MembershipOptions(
                defaults.indirectProbes(),
                settings.suspicionTimeoutMs(),
                defaults.forgetAfterMs(),
                defaults.maxEntriesPerMessage(),
                defaults.crossRegionShare());
    }

    private static Optional<FleetConfiguration> decodeConfiguration(byte[] content) {
        try {
            return Optional.of(ConfigurationCodec.decode(content));
        } catch (ConfigurationException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_UNREADABLE, "received", e.getMessage());
            return Optional.empty();
        }
    }

    private void joinFleet() {
        hostListReader.read();
        List<String> contacts = new ArrayList<>(contactAddresses());
        Collections.shuffle(contacts, random);
        int membersAnswered = membership.join(contacts);
        LOG.write(CoordinatorEvent.JOINED, settings.node(), membership.self().incarnation(), membersAnswered);
    }

    private List<String> contactAddresses() {
        List<String> contacts = new ArrayList<>(settings.seeds());
        contacts.addAll(view.hosts().coordinatorAddresses());
        return contacts.stream().distinct().toList();
    }

    private RunnerAgentContext runnerAgentContext() {
        Member<NodeAttributes> self = membership.self();
        NodeIdentity identity = NodeIdentity.of(self.node(), self.incarnation());
        return new RunnerAgentContext(
                identity,
                RunnerGrants.create(identity, platform.kv(), CODECS),
                platform.engines(),
                capHistory,
                demandTracker,
                permits,
                loadHistory,
                time,
                status -> membership.announce(GossipMapping.announcement(status)),
                settings.inspectIntervalMs());
    }

    private DemandTracker createDemandTracker() {
        KeepAlivePolicy policy = settings.fixedKeepAliveMs() > 0
                ? KeepAlivePolicy.fixed(settings.fixedKeepAliveMs())
                : KeepAlivePolicy.adaptive();
        return DemandTracker.of(policy, () -> feed.current().configuration(), settings.minKeepAliveMs());
    }

    private CoordinatorService createService() {
        return new CoordinatorService(
                view,
                snapshots,
                localRouterMonitor,
                configurationUpdater,
                runners,
                LoadRequestHandler.of(view, runners, catalogueCache, feed, peers, grantReader, time, context.metrics()),
                preloader,
                UseReportForwarder.of(view, runners, demandTracker, peers, time),
                demandReplicator,
                OperatorCommands.of(view, runners, peers),
                new FleetExplainer(
                        view, runners, loadHistory, () -> feed.current().configuration(), catalogueCache::sizes),
                permits,
                context.tracing());
    }

    private void registerMetrics(MetricRegistry metrics) {
        for (MemberStatus status : MemberStatus.values()) {
            metrics.gauge(
                    "members." + status,
                    () -> () -> membership.members().stream()
                            .filter(member -> member.status() == status)
                            .count());
        }
        metrics.gauge("runners.owned", () -> () -> runners.agents().size());
        metrics.gauge("configuration.version", () -> () -> feed.current().version());
    }

    private void startTasks() {
        tasks.every("probe", settings.probeIntervalMs(), membership::probeRound);
        tasks.every(
                "synchronize", settings.synchronizeIntervalMs(), () -> membership.synchronizeRound(contactAddresses()));
        tasks.every("hosts", settings.hostListIntervalMs(), hostListReader::read);
        tasks.every("configuration", settings.configurationIntervalMs(), configurationUpdater::refresh);
        tasks.every(
                "watchers",
                WATCHER_CHECK_INTERVAL_MS,
                () -> configurationUpdater.updateWatch(
                        membership.self(), membership.liveMembers(), settings.watchersPerZone()));
        tasks.every("ownership", settings.ownershipIntervalMs(), runners::updateOwnership);
        tasks.every("reconcile", RECONCILE_INTERVAL_MS, this::reconcile);
        tasks.every(
                "catalogue", CATALOGUE_RETRY_INTERVAL_MS, () -> catalogueCache.refreshIfDue(time.currentTimeMillis()));
        tasks.every("spread", SLOT_PREALLOCATION_INTERVAL_MS, slotPreallocator::preallocate);
        tasks.every("load-ahead", settings.loadAheadIntervalMs(), preloader::preloadExpectedModels);
        tasks.every("demand", settings.demandIntervalMs(), demandReplicator::replicate);
        tasks.every("presence", ROUTER_CHECK_INTERVAL_MS, this::checkRouterPermitsAndReadiness);
    }

    /** Reconciles slots with the key-value store, but not before a configuration sets the replica caps. */
    private void reconcile() {
        if (feed.current().version() > 0) {
            runners.reconcile();
        }
    }

    private void checkRouterPermitsAndReadiness() {
        localRouterMonitor.markStoppedIfSilent();
        permits.rebalance();
        if (feed.isInitialised()) {
            context.readiness().ready();
        } else {
            context.readiness().notReady("no configuration is known yet");
        }
    }

    /** Applies a new configuration version; the feed calls this in the order of versions. */
    private void applyConfiguration(ConfigurationFeed.ActiveConfiguration<FleetConfiguration> active) {
        LOG.write(CoordinatorEvent.CONFIGURATION_IN_FORCE, active.version());
        capHistory.apply(active.version(), active.configuration().replicaCaps());
        membership.advertiseConfiguration(active.version());
        membership.update(attributes -> attributes.withConfigurationVersion(active.version()));
        snapshots.stateChanged();
        if (started) {
            Thread.ofVirtual().name("reconcile").start(runners::reconcile);
        }
    }

    @Override
    public void stop() throws InterruptedException {
        membership.leave();
        runners.stopAcquiring();
        long deadline = time.nanoTime() + settings.stopTimeoutMs() * 1_000_000L;
        while (runners.handOverIdle() > 0 && time.nanoTime() - deadline < 0) {
            Thread.sleep(HAND_OVER_POLL_MS);
        }
        membership.announceStop();
    }

    @Override
    public void close() {
        tasks.close();
        configurationUpdater.close();
        runners.close();
        server.close();
    }

    private final class MembershipChangeListener implements MembershipListener {
        @Override
        public void changed() {
            if (snapshots != null) {
                snapshots.stateChanged();
                updatePusher.push();
            }
        }

        @Override
        public void configurationAnnounced(long version, String address) {
            configurationUpdater.fetchIfNewer(version, address);
        }

        @Override
        public void superseded(long incarnation) {
            LOG.write(
                    CoordinatorEvent.SUPERSEDED,
                    settings.node(),
                    membership.self().incarnation(),
                    incarnation);
            if (started) {
                runners.stopAcquiring();
                runners.close();
            }
        }
    }
}
