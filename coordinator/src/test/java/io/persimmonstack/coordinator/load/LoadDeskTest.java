package io.persimmonstack.coordinator.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.grant.GrantCodecs;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.membership.MembershipListener;
import io.persimmonstack.coordination.membership.MembershipOptions;
import io.persimmonstack.coordination.membership.Updates;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.FakePlatform;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.runner.RunnerPorts;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Weights;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The desk of one node, which still holds the state that a runner's earlier owner announced. */
class LoadDeskTest {
    private static final String RUNNER = "runner-1";
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final Deployment DEPLOYMENT =
            new Deployment("summary-desk", "summary", List.of("v1"), List.of(), List.of("desk"), 3, 1, 1, 30, 60_000);
    private static final LoadAnswer NO_ROOM = new LoadAnswer(LoadResult.REFUSED_MEMORY);
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 1_000);
    private final Queue<LoadRequest> asked = new ConcurrentLinkedQueue<>();
    private final RunnerGrants owner = RunnerGrants.create(NodeIdentity.of("entry-2", 2), platform.kv, CODECS);
    /** The one slot, as the owners know it; absent where owners give and release slots at will. */
    private volatile Optional<Slot> slot = Optional.empty();

    private final Queue<String> released = new ConcurrentLinkedQueue<>();
    private final Set<String> full = ConcurrentHashMap.newKeySet();
    private volatile LoadAnswer ownersAnswer = new LoadAnswer(LoadResult.LOADING);
    private ThriftServer ownersServer;
    private Membership<NodeAttributes, RunnerStatus> membership;
    private LoadDesk desk;

    private static final class Slot {
        private String runner;

        private Slot(String runner) {
            this.runner = runner;
        }

        private synchronized boolean release(String from) {
            boolean held = runner.equals(from);
            runner = held ? "" : runner;
            return held;
        }

        private synchronized boolean take(String to) {
            runner = runner.isEmpty() ? to : runner;
            return runner.equals(to);
        }
    }

    @BeforeEach
    void start() throws Exception {
        Coordinator.Iface ownersService = (Coordinator.Iface) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Coordinator.Iface.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("releaseSlot")) {
                        released.add((String) arguments[0]);
                        return slot.isEmpty() || slot.get().release((String) arguments[0]);
                    }
                    LoadRequest request = (LoadRequest) arguments[0];
                    asked.add(request);
                    if (slot.isPresent() && !slot.get().take(request.getRunner())) {
                        return new LoadAnswer(LoadResult.REFUSED_CAP);
                    }
                    return new LoadAnswer(full.contains(request.getRunner()) ? NO_ROOM : ownersAnswer);
                });
        ownersServer = ThriftServer.start(PeerAddress.parse("127.0.0.1:0"), new Coordinator.Processor<>(ownersService));
        platform.addRunner(RUNNER, "z1", true);
        platform.addModel(MODEL.toString());
        Weights weights = Weights.of(platform.clients().weightStore());
        weights.refresh();
        FleetConfiguration configuration = new FleetConfiguration(1, List.of(DEPLOYMENT), List.of(), List.of());
        ConfigurationFeed<FleetConfiguration> feed =
                ConfigurationFeed.of(FleetConfiguration.empty(), bytes -> Optional.of(configuration), current -> {});
        feed.offer(1, new byte[0]);
        membership = membership();
        FleetView view = FleetView.of(membership);
        GrantReader records = GrantReader.of(platform.kv, CODECS);
        desk = LoadDesk.of(view, runners(view, weights), weights, feed, peers, records, new MetricRegistry());
    }

    /** Knows the owner on record, and the state that the owner before it announced. */
    private Membership<NodeAttributes, RunnerStatus> membership() {
        Membership<NodeAttributes, RunnerStatus> made = Membership.of(
                member("entry-1", 1, "127.0.0.1:1"),
                MembershipOptions.defaults(),
                TimeSource.system(),
                new Random(1),
                ThriftGossip.of(peers, 100, new MetricRegistry()),
                MembershipListener.NONE);
        Member<NodeAttributes> known = member("entry-2", 2, "127.0.0.1:" + ownersServer.port());
        made.onDeliver(known, new Updates<>(List.of(known), List.of(), 0));
        made.announce(GossipMapping.announcement(status(RUNNER, 1, 1, List.of(MODEL.toString()))));
        made.announce(GossipMapping.announcement(status("runner-2", 2, 1, List.of())));
        return made;
    }

    private static Member<NodeAttributes> member(String node, long incarnation, String address) {
        return new Member<>(
                node,
                incarnation,
                1,
                MemberStatus.ALIVE,
                new Locality("z1", "south"),
                address,
                NodeAttributes.withoutRouter());
    }

    private static RunnerStatus status(String runner, long ownerIncarnation, long epoch, List<String> slots) {
        return new RunnerStatus(
                runner,
                "127.9.0.1:1",
                "z1",
                "south",
                "entry-2",
                ownerIncarnation,
                epoch,
                1,
                100,
                slots,
                List.of(),
                false,
                true,
                8);
    }

    private Runners runners(FleetView view, Weights weights) {
        NodeIdentity self = NodeIdentity.of("entry-1", 1);
        TimeSource time = TimeSource.system();
        RunnerPorts ports = new RunnerPorts(
                self,
                RunnerGrants.create(self, platform.kv, CODECS),
                platform,
                model -> ReplicaCap.of(1, 1),
                null,
                StorePermits.of(view, weights, peers, time),
                LoadHistory.create(),
                time,
                status -> {},
                100);
        return Runners.of(ports, GrantReader.of(platform.kv, CODECS), view, peers, 0);
    }

    @AfterEach
    void close() {
        ownersServer.close();
        peers.close();
    }

    private void ownerHoldsTheSlot() throws Exception {
        owner.acquire(RUNNER, TakeoverEvidence.fencedEngine());
        owner.confirmFenced(RUNNER);
        owner.grant(RUNNER, MODEL, ReplicaCap.of(1, 1));
    }

    private LoadResult load() {
        return desk.load(new LoadRequest(MODEL.toString(), 10_000, 1, "z1", 1, 1))
                .getResult();
    }

    @ParameterizedTest
    @CsvSource({"LOADING, LOADING", "LOADED, LOADED", "REFUSED_MEMORY, REFUSED_CAP", "REFUSED_OWNER, REFUSED_CAP"})
    void ownerOnRecordIsAskedOnceBeforeTheCapRefuses(LoadResult owners, LoadResult expected) throws Exception {
        ownerHoldsTheSlot();
        ownersAnswer = new LoadAnswer(owners);
        ownersAnswer.setRunner(RUNNER);
        assertEquals(expected, load());
        assertEquals(List.of(RUNNER), asked.stream().map(LoadRequest::getRunner).toList());
    }

    @Test
    void slotMovesFromARunnerThatTurnsOutToHaveNoRoom() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        full.add(RUNNER);
        assertEquals(LoadResult.LOADING, load());
        assertEquals(
                List.of(RUNNER, "runner-2"),
                asked.stream().map(LoadRequest::getRunner).toList());
        assertEquals(List.of(RUNNER), List.copyOf(released));
    }

    @Test
    void slotThatWasMovedToARunnerWithoutRoomIsMovedOn() {
        RunnerStatus holder = status(RUNNER, 2, 2, List.of(MODEL.toString()));
        holder.setUsedBytes(holder.getMemoryBytes());
        membership.announce(GossipMapping.announcement(holder));
        membership.announce(GossipMapping.announcement(status("runner-3", 2, 1, List.of())));
        slot = Optional.of(new Slot(RUNNER));
        full.add("runner-2");
        full.add("runner-2");
        LoadResult got = load();
        assertEquals(LoadResult.LOADING, got, () -> "asked " + asked + ", released " + released);
        assertEquals("runner-3", slot.get().runner);
    }

    @Test
    void demandIsRefusedOnceEveryRunnerTurnsOutToHaveNoRoom() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        full.addAll(List.of(RUNNER, "runner-2"));
        assertEquals(LoadResult.REFUSED_MEMORY, load());
        assertEquals(2, asked.size());
    }

    @Test
    void ownerOnRecordIsAskedWhereNoRunnerWithRoomHasAnOwner() throws Exception {
        ownerHoldsTheSlot();
        membership.announce(GossipMapping.announcement(status("runner-2", 1, 2, List.of())));
        ownersAnswer.setRunner(RUNNER);
        assertEquals(LoadResult.LOADING, load());
    }

    @Test
    void repeatedDemandsReadTheRecordsOnce() throws Exception {
        ownerHoldsTheSlot();
        ownersAnswer = new LoadAnswer(LoadResult.REFUSED_MEMORY);
        long before = platform.kv.reads();
        for (int i = 0; i < 10; i++) {
            assertEquals(LoadResult.REFUSED_CAP, load());
        }
        assertEquals(2, platform.kv.reads() - before, "one read of the model and one of the runner");
    }

    @Test
    void withoutTheKeyValueServiceTheRefusalStands() throws Exception {
        ownerHoldsTheSlot();
        platform.kv.unavailable(true);
        assertEquals(LoadResult.REFUSED_CAP, load());
    }
}
