package io.persimmonstack.coordinator;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.hosts.HostListException;
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
import io.persimmonstack.coordinator.config.ConfigurationKeeper;
import io.persimmonstack.coordinator.explain.Explanations;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.load.DemandExchange;
import io.persimmonstack.coordinator.load.IdleModels;
import io.persimmonstack.coordinator.load.LoadAhead;
import io.persimmonstack.coordinator.load.LoadDesk;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.coordinator.load.SlotSpreader;
import io.persimmonstack.coordinator.load.StorePermits;
import io.persimmonstack.coordinator.load.UseReports;
import io.persimmonstack.coordinator.runner.RunnerPorts;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetStatus;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Hosts;
import io.persimmonstack.coordinator.view.RouterPresence;
import io.persimmonstack.coordinator.view.SnapshotPublisher;
import io.persimmonstack.coordinator.view.Weights;
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

/** A running coordinator: its parts and the tasks that keep them going. */
final class CoordinatorNode implements RunningProgram {
    private static final EventLog LOG = EventLog.of(CoordinatorNode.class);
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final long STOP_POLL_MS = 200;
    private static final long RECONCILE_INTERVAL_MS = 30_000;
    private static final long SPREAD_INTERVAL_MS = 2_000;
    private static final long CATALOGUE_INTERVAL_MS = 60_000;
    private static final long CATALOGUE_RETRY_MS = 2_000;
    private static final long WATCH_CHECK_INTERVAL_MS = 2_000;
    private static final long PRESENCE_INTERVAL_MS = 500;

    private final CoordinatorSettings settings;
    private final ProgramContext context;
    private final TimeSource time = TimeSource.system();
    private final Random random = new Random();
    private final PlatformLinks platform;
    private final ThriftPeers<Coordinator.Client> peers;
    private final ThriftServer server;
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final NewsPusher pusher;
    private final FleetView view;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ConfigurationKeeper keeper;
    private final SnapshotPublisher snapshots;
    private final CapHistory caps = CapHistory.create();
    private final Weights weights;
    private final StorePermits permits;
    private final GrantReader records;
    private final IdleModels idleModels;
    private final LoadAhead ahead;
    private final DemandExchange demand;
    private final Runners runners;
    private final RouterPresence presence;
    private final LoadHistory history = LoadHistory.create();
    private final PeriodicTasks tasks;
    private volatile boolean started;
    private long catalogueReadMs;

    private CoordinatorNode(CoordinatorSettings settings, ProgramContext context, PlatformLinks platform)
            throws WireException, ProgramException {
        this.settings = settings;
        this.context = context;
        this.platform = platform;
        MetricRegistry metrics = context.metrics();
        PeerSecurity security = PeerTrust.of(settings.peerTls(), context.closer());
        this.peers = context.closer()
                .add(ThriftPeers.of(new Coordinator.Client.Factory(), settings.probeTimeoutMs(), security));
        LateProcessor processor = new LateProcessor();
        this.server = ThriftServer.start(PeerAddress.parse(settings.address()), processor, security);
        this.feed = ConfigurationFeed.of(FleetConfiguration.empty(), CoordinatorNode::decode, this::inForce);
        ConfigurationStore store = ConfigurationStore.of(platform.kv(), ConfigurationHeadCodec.create(), time);
        this.keeper = ConfigurationKeeper.of(feed, platform.kv(), store, peers);
        this.membership = Membership.of(
                self(),
                options(),
                time,
                random,
                ThriftGossip.of(peers, settings.probeTimeoutMs(), metrics),
                new Changes());
        this.pusher = new NewsPusher(membership);
        this.view = FleetView.of(membership);
        this.snapshots = SnapshotPublisher.of(view, feed, time.currentTimeMillis());
        this.weights = Weights.of(platform.weightStore());
        this.presence = RouterPresence.of(membership, time);
        join();
        this.permits = StorePermits.of(view, weights, peers, time);
        this.records = GrantReader.of(platform.kv(), CODECS);
        this.idleModels = idleModels();
        this.runners = Runners.of(ports(), records, view, peers, settings.suspicionTimeoutMs());
        this.ahead = LoadAhead.of(view, runners, weights, idleModels, feed, peers, time);
        this.demand = DemandExchange.of(view, idleModels, peers, time);
        this.tasks = PeriodicTasks.create(random);
        processor.serve(new Coordinator.Processor<Coordinator.Iface>(service()));
        registerMetrics(metrics);
    }

    static CoordinatorNode start(CoordinatorSettings settings, ProgramContext context, PlatformLinks platform)
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

    /** Returns where the coordinator listens. */
    String address() {
        return membership.self().address();
    }

    /** Returns why runners that this node should own could not be taken, by runner. */
    Map<String, String> obstacles() {
        return runners.obstacles();
    }

    /** Returns the models and adapters whose demand this node knows. */
    Set<LoadKey> observed() {
        return idleModels.observed();
    }

    private Member<NodeAttributes> self() {
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

    private MembershipOptions options() {
        MembershipOptions defaults = MembershipOptions.defaults();
        return new MembershipOptions(
                defaults.indirectProbes(),
                settings.suspicionTimeoutMs(),
                defaults.forgetAfterMs(),
                defaults.maxEntriesPerMessage(),
                defaults.crossRegionShare());
    }

    private static Optional<FleetConfiguration> decode(byte[] content) {
        try {
            return Optional.of(ConfigurationCodec.decode(content));
        } catch (ConfigurationException e) {
            LOG.write(CoordinatorEvent.CONFIGURATION_UNREADABLE, "received", e.getMessage());
            return Optional.empty();
        }
    }

    private void join() {
        readHosts();
        List<String> contacts = new ArrayList<>(contacts());
        Collections.shuffle(contacts, random);
        int answered = membership.join(contacts);
        LOG.write(CoordinatorEvent.JOINED, settings.node(), membership.self().incarnation(), answered);
    }

    private List<String> contacts() {
        List<String> contacts = new ArrayList<>(settings.seeds());
        contacts.addAll(view.hosts().coordinatorAddresses());
        return contacts.stream().distinct().toList();
    }

    private RunnerPorts ports() {
        Member<NodeAttributes> self = membership.self();
        NodeIdentity identity = NodeIdentity.of(self.node(), self.incarnation());
        return new RunnerPorts(
                identity,
                RunnerGrants.create(identity, platform.kv(), CODECS),
                platform.engines(),
                caps,
                idleModels,
                permits,
                history,
                time,
                status -> membership.announce(GossipMapping.announcement(status)),
                settings.inspectIntervalMs());
    }

    private IdleModels idleModels() {
        KeepAlivePolicy policy = settings.fixedKeepAliveMs() > 0
                ? KeepAlivePolicy.fixed(settings.fixedKeepAliveMs())
                : KeepAlivePolicy.adaptive();
        return IdleModels.of(policy, () -> feed.current().configuration(), settings.minKeepAliveMs());
    }

    private CoordinatorService service() {
        return new CoordinatorService(
                view,
                snapshots,
                presence,
                keeper,
                runners,
                LoadDesk.of(view, runners, weights, feed, peers, records, context.metrics()),
                ahead,
                UseReports.of(view, runners, idleModels, peers, time),
                demand,
                FleetStatus.of(view, runners, peers),
                new Explanations(view, runners, history, () -> feed.current().configuration(), weights::sizes),
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
        tasks.every("synchronize", settings.synchronizeIntervalMs(), () -> membership.synchronizeRound(contacts()));
        tasks.every("hosts", settings.hostListIntervalMs(), this::readHosts);
        tasks.every("configuration", settings.configurationIntervalMs(), keeper::refresh);
        tasks.every(
                "watchers",
                WATCH_CHECK_INTERVAL_MS,
                () -> keeper.chooseWatchers(membership.self(), membership.liveMembers(), settings.watchersPerZone()));
        tasks.every("ownership", settings.ownershipIntervalMs(), runners::check);
        tasks.every("reconcile", RECONCILE_INTERVAL_MS, this::reconcile);
        tasks.every("catalogue", CATALOGUE_RETRY_MS, this::readCatalogue);
        tasks.every("spread", SPREAD_INTERVAL_MS, this::spreadSlots);
        tasks.every("load-ahead", settings.loadAheadIntervalMs(), ahead::run);
        tasks.every("demand", settings.demandIntervalMs(), demand::run);
        tasks.every("presence", PRESENCE_INTERVAL_MS, this::checkPresence);
    }

    private void readHosts() {
        try {
            if (view.replaceHosts(Hosts.of(platform.hostList().hosts()))) {
                snapshots.stateChanged();
            }
            platform.budget()
                    .divide(Math.max(
                            view.hosts().entries().size(), view.liveMembers().size()));
        } catch (HostListException e) {
            LOG.write(CoordinatorEvent.HOST_LIST_FAILED, e.getMessage());
        }
    }

    private void readCatalogue() {
        long now = time.currentTimeMillis();
        if (weights.catalogue().isEmpty() || now - catalogueReadMs > CATALOGUE_INTERVAL_MS) {
            weights.refresh();
            catalogueReadMs = now;
        }
    }

    private void reconcile() {
        if (feed.current().version() > 0) {
            runners.reconcile();
        }
    }

    private void spreadSlots() {
        SlotSpreader.propose(feed.current().configuration(), view.runners(), this::baseBytes)
                .forEach(proposal ->
                        runners.agent(proposal.runner()).ifPresent(agent -> agent.grantAhead(proposal.model())));
    }

    private Optional<Long> baseBytes(io.persimmonstack.coordination.model.ModelVersion model) {
        return weights.sizes(new LoadKey(model, Optional.empty())).map(LoadSizes::baseBytes);
    }

    private void checkPresence() {
        presence.checkSilence();
        permits.settle();
        if (feed.isInitialised()) {
            context.readiness().ready();
        } else {
            context.readiness().notReady("no configuration is known yet");
        }
    }

    private void inForce(ConfigurationFeed.ActiveConfiguration<FleetConfiguration> current) {
        LOG.write(CoordinatorEvent.CONFIGURATION_IN_FORCE, current.version());
        caps.apply(current.version(), current.configuration().replicaCaps());
        membership.advertiseConfiguration(current.version());
        membership.update(attributes -> attributes.withConfigurationVersion(current.version()));
        snapshots.stateChanged();
        if (started) {
            Thread.ofVirtual().name("reconcile").start(runners::reconcile);
        }
    }

    @Override
    public void stop() throws InterruptedException {
        membership.leave();
        runners.leave();
        long deadline = time.nanoTime() + settings.stopTimeoutMs() * 1_000_000L;
        while (runners.handOverIdle() > 0 && time.nanoTime() - deadline < 0) {
            Thread.sleep(STOP_POLL_MS);
        }
        membership.announceStop();
    }

    @Override
    public void close() {
        tasks.close();
        keeper.close();
        runners.close();
        server.close();
    }

    private final class Changes implements MembershipListener {
        @Override
        public void changed() {
            if (snapshots != null) {
                snapshots.stateChanged();
                pusher.push();
            }
        }

        @Override
        public void configurationAnnounced(long version, String address) {
            keeper.heard(version, address);
        }

        @Override
        public void superseded(long incarnation) {
            LOG.write(
                    CoordinatorEvent.SUPERSEDED,
                    settings.node(),
                    membership.self().incarnation(),
                    incarnation);
            if (started) {
                runners.leave();
                runners.close();
            }
        }
    }
}
