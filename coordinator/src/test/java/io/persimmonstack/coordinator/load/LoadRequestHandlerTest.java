package io.persimmonstack.coordinator.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.FakePlatform;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.runner.RunnerAgentContext;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
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
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load requests on a node whose view still has the state that an earlier owner of the runner announced. */
class LoadRequestHandlerTest {
    private static final String RUNNER = "runner-1";
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final Deployment DEPLOYMENT =
            new Deployment("summary-desk", "summary", List.of("v1"), List.of(), List.of("desk"), 3, 1, 1, 30, 60_000);
    /** Seconds after which the owner is asked again about a load that its runner does not announce. */
    private static final int CONFIRM_AFTER_S = 3;

    private static final LoadAnswer NO_MEMORY = new LoadAnswer(LoadResult.REFUSED_MEMORY);
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 1_000);
    /** Load requests that the owners received, in order. */
    private final Queue<LoadRequest> requests = new ConcurrentLinkedQueue<>();

    private final RunnerGrants ownerGrants = RunnerGrants.create(NodeIdentity.of("entry-2", 2), platform.kv, CODECS);
    /** The only slot under the cap, as the runners' owners see it; empty if owners grant and release without limit. */
    private volatile Optional<Slot> slot = Optional.empty();

    /** Runners whose owners were asked to release a slot, in order. */
    private final Queue<String> releasedFrom = new ConcurrentLinkedQueue<>();
    /** Runs before an owner answers that it releases a slot or not. */
    private volatile Runnable onRelease = () -> {};
    /** Runners whose owners refuse loads for lack of memory. */
    private final Set<String> withoutMemory = ConcurrentHashMap.newKeySet();

    /** Time of the handler's clocks, in milliseconds; only tests advance it. */
    private volatile long nowMs = 1_000_000;

    private final TimeSource time = FakeTime.ofMillis(() -> nowMs);

    private volatile LoadAnswer ownerAnswer = new LoadAnswer(LoadResult.LOADING);
    private ThriftServer ownerServer;
    private Membership<NodeAttributes, RunnerStatus> membership;
    private LoadRequestHandler handler;

    /** Slot that is held by one runner or by none. */
    private static final class Slot {
        private String runner;

        private Slot(String runner) {
            this.runner = runner;
        }

        /** Frees the slot if the runner holds it; returns whether it did. */
        private synchronized boolean release(String from) {
            boolean held = runner.equals(from);
            runner = held ? "" : runner;
            return held;
        }

        /** Gives the runner the slot if it is free; returns whether the runner holds it. */
        private synchronized boolean acquire(String to) {
            runner = runner.isEmpty() ? to : runner;
            return runner.equals(to);
        }
    }

    @BeforeEach
    void start() throws Exception {
        Coordinator.Iface ownerService = (Coordinator.Iface) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Coordinator.Iface.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("releaseSlot")) {
                        onRelease.run();
                        releasedFrom.add((String) arguments[0]);
                        return slot.isEmpty() || slot.get().release((String) arguments[0]);
                    }
                    LoadRequest request = (LoadRequest) arguments[0];
                    requests.add(request);
                    if (slot.isPresent() && !slot.get().acquire(request.getRunner())) {
                        return new LoadAnswer(LoadResult.REFUSED_CAP);
                    }
                    return new LoadAnswer(withoutMemory.contains(request.getRunner()) ? NO_MEMORY : ownerAnswer);
                });
        ownerServer = ThriftServer.start(PeerAddress.parse("127.0.0.1:0"), new Coordinator.Processor<>(ownerService));
        platform.addRunner(RUNNER, "z1", true);
        platform.addModel(MODEL.toString());
        WeightCatalogueCache catalogueCache =
                WeightCatalogueCache.of(platform.clients().weightStore());
        catalogueCache.refresh();
        FleetConfiguration configuration = new FleetConfiguration(1, List.of(DEPLOYMENT), List.of(), List.of());
        ConfigurationFeed<FleetConfiguration> feed =
                ConfigurationFeed.of(FleetConfiguration.empty(), bytes -> Optional.of(configuration), current -> {});
        feed.offer(1, new byte[0]);
        membership = membership();
        FleetView view = FleetView.of(membership);
        GrantReader grantReader = GrantReader.of(platform.kv, CODECS);
        handler = LoadRequestHandler.of(
                view,
                runners(view, catalogueCache),
                catalogueCache,
                feed,
                peers,
                grantReader,
                time,
                new MetricRegistry());
    }

    /** Returns a membership that knows the recorded owner, and the state that the owner before it announced. */
    private Membership<NodeAttributes, RunnerStatus> membership() {
        Membership<NodeAttributes, RunnerStatus> created = Membership.of(
                member("entry-1", 1, "127.0.0.1:1"),
                MembershipOptions.defaults(),
                TimeSource.system(),
                new Random(1),
                ThriftGossip.of(peers, 100, new MetricRegistry()),
                MembershipListener.NONE);
        Member<NodeAttributes> recordedOwner = member("entry-2", 2, "127.0.0.1:" + ownerServer.port());
        created.onDeliver(recordedOwner, new Updates<>(List.of(recordedOwner), List.of(), 0));
        created.announce(GossipMapping.announcement(status(RUNNER, 1, 1, List.of(MODEL.toString()))));
        created.announce(GossipMapping.announcement(status("runner-2", 2, 1, List.of())));
        return created;
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

    private Runners runners(FleetView view, WeightCatalogueCache catalogueCache) {
        NodeIdentity self = NodeIdentity.of("entry-1", 1);
        TimeSource time = TimeSource.system();
        RunnerAgentContext context = new RunnerAgentContext(
                self,
                RunnerGrants.create(self, platform.kv, CODECS),
                platform,
                model -> ReplicaCap.of(1, 1),
                null,
                StorePermits.of(view, catalogueCache, peers, time),
                LoadHistory.create(),
                time,
                status -> {},
                100);
        return Runners.of(context, GrantReader.of(platform.kv, CODECS), view, peers, 0);
    }

    @AfterEach
    void close() {
        ownerServer.close();
        peers.close();
    }

    private void grantSlotToRecordedOwner() throws Exception {
        ownerGrants.acquire(RUNNER, TakeoverEvidence.fencedEngine());
        ownerGrants.confirmFenced(RUNNER);
        ownerGrants.grant(RUNNER, MODEL, ReplicaCap.of(1, 1));
    }

    private LoadResult load() {
        return handler.load(new LoadRequest(MODEL.toString(), 10_000, 1, "z1", 1, 1))
                .getResult();
    }

    @ParameterizedTest
    @CsvSource({"LOADING, LOADING", "LOADED, LOADED", "REFUSED_MEMORY, REFUSED_CAP", "REFUSED_OWNER, REFUSED_CAP"})
    void recordedOwnerIsAskedOnceBeforeTheCapRefusal(LoadResult ownerResult, LoadResult expected) throws Exception {
        grantSlotToRecordedOwner();
        ownerAnswer = new LoadAnswer(ownerResult);
        ownerAnswer.setRunner(RUNNER);
        assertEquals(expected, load());
        assertEquals(
                List.of(RUNNER), requests.stream().map(LoadRequest::getRunner).toList());
    }

    @Test
    void slotIsMovedWhenItsRunnerRefusesForMemory() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        withoutMemory.add(RUNNER);
        assertEquals(LoadResult.LOADING, load());
        assertEquals(
                List.of(RUNNER, "runner-2"),
                requests.stream().map(LoadRequest::getRunner).toList());
        assertEquals(List.of(RUNNER), List.copyOf(releasedFrom));
    }

    @Test
    void slotIsMovedAgainWhenTheNextRunnerRefusesForMemory() {
        RunnerStatus holder = status(RUNNER, 2, 2, List.of(MODEL.toString()));
        holder.setUsedBytes(holder.getMemoryBytes());
        membership.announce(GossipMapping.announcement(holder));
        membership.announce(GossipMapping.announcement(status("runner-3", 2, 1, List.of())));
        slot = Optional.of(new Slot(RUNNER));
        withoutMemory.add("runner-2");
        withoutMemory.add("runner-2");
        LoadResult result = load();
        assertEquals(
                LoadResult.LOADING, result, () -> "requests: " + requests + ", slots released from: " + releasedFrom);
        assertEquals("runner-3", slot.get().runner);
    }

    /** A runner may drop a load that it queued and never announce it, while requests for the model go on. */
    @Test
    void loadThatItsRunnerHasDroppedIsOrderedOnAnother() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        ownerAnswer = new LoadAnswer(LoadResult.LOADING);
        ownerAnswer.setRunner(RUNNER);
        assertEquals(LoadResult.LOADING, load());
        withoutMemory.add(RUNNER);
        requestEverySecond(CONFIRM_AFTER_S + 1);
        assertEquals("runner-2", List.copyOf(requests).getLast().getRunner(), () -> "requests: " + requests);
    }

    @Test
    void loadThatItsRunnerStillQueuesIsNotOrderedOnAnother() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        ownerAnswer = new LoadAnswer(LoadResult.LOADING);
        ownerAnswer.setRunner(RUNNER);
        requestEverySecond(5 * CONFIRM_AFTER_S);
        assertEquals(
                Set.of(RUNNER), requests.stream().map(LoadRequest::getRunner).collect(Collectors.toSet()));
        assertTrue(requests.size() <= 5, () -> "requests: " + requests);
    }

    private void requestEverySecond(int times) {
        for (int i = 0; i < times; i++) {
            nowMs += 1_000;
            load();
        }
    }

    @Test
    void loadIsRefusedWhenTheOwnersOfIdleSlotsLeaveMeanwhile() {
        for (String holder : List.of(RUNNER, "runner-3")) {
            RunnerStatus status = status(holder, 2, 2, List.of(MODEL.toString()));
            status.setUsedBytes(status.getMemoryBytes());
            membership.announce(GossipMapping.announcement(status));
        }
        slot = Optional.of(new Slot("runner-4"));
        onRelease = () -> membership.onDeliver(
                member("entry-2", 2, "127.0.0.1:1").withStatus(MemberStatus.DEAD),
                new Updates<>(List.of(), List.of(), 0));
        assertEquals(LoadResult.REFUSED_CAP, load());
        assertEquals(1, releasedFrom.size(), "the owner of the second slot has left");
    }

    @Test
    void loadIsRefusedWhenEveryRunnerRefusesForMemory() {
        membership.announce(GossipMapping.announcement(status(RUNNER, 2, 2, List.of(MODEL.toString()))));
        withoutMemory.addAll(List.of(RUNNER, "runner-2"));
        assertEquals(LoadResult.REFUSED_MEMORY, load());
        assertEquals(2, requests.size());
    }

    @Test
    void recordedOwnerIsAskedWhenNoRunnerWithMemoryHasALiveOwner() throws Exception {
        grantSlotToRecordedOwner();
        membership.announce(GossipMapping.announcement(status("runner-2", 1, 2, List.of())));
        ownerAnswer.setRunner(RUNNER);
        assertEquals(LoadResult.LOADING, load());
    }

    @Test
    void repeatedLoadRequestsReadTheRecordsOnce() throws Exception {
        grantSlotToRecordedOwner();
        ownerAnswer = new LoadAnswer(LoadResult.REFUSED_MEMORY);
        long before = platform.kv.reads();
        for (int i = 0; i < 10; i++) {
            assertEquals(LoadResult.REFUSED_CAP, load());
        }
        assertEquals(2, platform.kv.reads() - before, "one read of the model and one of the runner");
    }

    @Test
    void refusalIsReturnedWhenTheKeyValueServiceIsUnavailable() throws Exception {
        grantSlotToRecordedOwner();
        platform.kv.unavailable(true);
        assertEquals(LoadResult.REFUSED_CAP, load());
    }
}
