package io.persimmonstack.coordinator.runner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.engine.LoadOutcome;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.grant.GrantCodecs;
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
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.FakePlatform;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.load.DemandTracker;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.coordinator.load.StorePermits;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Loads, preloads, slots and hand-over of one runner, also where its engine or the key-value store fails. */
class RunnerAgentTest {
    private static final String RUNNER = "runner-1";
    private static final long KEEP_ALIVE_MS = 600_000;
    private static final long SLACK_MS = 60_000;
    private static final LoadSizes SIZES = new LoadSizes(40, 0);
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 100);
    private volatile int cap = 1;
    private long keepAliveMs = KEEP_ALIVE_MS;
    private WeightCatalogueCache catalogueCache;
    private RunnerAgent agent;
    private volatile RunnerStatus announced;

    @BeforeEach
    void start() throws Exception {
        start(true);
    }

    private void start(boolean fencing) throws Exception {
        platform.addRunner(RUNNER, "z1", fencing);
        List.of("a", "b", "c").forEach(model -> platform.addModel(model + "@v1"));
        TimeSource time = TimeSource.system();
        Member<NodeAttributes> self = new Member<>(
                "entry-1",
                1,
                1,
                MemberStatus.ALIVE,
                new Locality("z1", "south"),
                "127.0.0.1:1",
                NodeAttributes.withoutRouter());
        Membership<NodeAttributes, RunnerStatus> membership = Membership.of(
                self,
                MembershipOptions.defaults(),
                time,
                new Random(1),
                ThriftGossip.of(peers, 100, new MetricRegistry()),
                MembershipListener.NONE);
        catalogueCache = WeightCatalogueCache.of(platform.clients().weightStore());
        catalogueCache.refresh();
        NodeIdentity identity = NodeIdentity.of("entry-1", 1);
        RunnerGrants grants = RunnerGrants.create(
                identity, platform.kv, new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create()));
        RunnerAgentContext context = new RunnerAgentContext(
                identity,
                grants,
                platform,
                model -> ReplicaCap.of(cap, 1),
                DemandTracker.of(KeepAlivePolicy.fixed(keepAliveMs), FleetConfiguration::empty, 0),
                StorePermits.of(FleetView.of(membership), catalogueCache, peers, time),
                LoadHistory.create(),
                time,
                status -> announced = status,
                100);
        grants.acquire(RUNNER, fencing ? TakeoverEvidence.fencedEngine() : TakeoverEvidence.handedOver());
        agent = RunnerAgent.start(context, platform.hosts.get(RUNNER), false);
    }

    @AfterEach
    void close() {
        agent.close();
        peers.close();
        assertEquals(List.of(), platform.violations);
    }

    private LoadResult load(String model) throws Exception {
        LoadKey key = new LoadKey(ModelVersion.of(model, "v1"), Optional.empty());
        return agent.load(key, SLACK_MS, SIZES).get(10, TimeUnit.SECONDS).getResult();
    }

    /** A new process of the engine may be of another software version, while everything else stays. */
    @Test
    void softwareVersionOfTheEngineIsAnnouncedWhenItChanges() throws Exception {
        while (announced == null) {
            Thread.onSpinWait();
        }
        assertFalse(announced.isSetSoftwareVersion());
        for (String version : List.of("a", "b")) {
            platform.setSoftwareVersion(RUNNER, version);
            while (!version.equals(announced.getSoftwareVersion())) {
                Thread.onSpinWait();
            }
        }
    }

    /** The answer to a load, and the number of load orders that the engine carried out, for each fault. */
    @ParameterizedTest(name = "{0}: {1}, {2} orders")
    @CsvSource({
        "nothing, LOADING, 1",
        "key-value service down, REFUSED_KV, 0",
        "no slot left, REFUSED_CAP, 0",
        "runner drained, REFUSED_CAP, 0",
        "engine has no memory, REFUSED_MEMORY, 0",
        "engine has seen a later epoch, REFUSED_OWNER, 0",
        "engine refuses, REFUSED_FAILED, 0",
        "order not sent, REFUSED_FAILED, 0",
        "answer lost, REFUSED_FAILED, 0",
    })
    void loadAnswerNamesTheFault(String fault, LoadResult expected, int orders) throws Exception {
        switch (fault) {
            case "key-value service down" -> platform.kv.unavailable(true);
            case "no slot left" -> cap = 0;
            case "runner drained" -> agent.setDraining(true);
            case "engine has no memory" -> platform.nextOutcomes.add(new LoadOutcome.NoMemory());
            case "engine has seen a later epoch" -> platform.nextOutcomes.add(new LoadOutcome.Fenced(9));
            case "engine refuses" -> platform.nextOutcomes.add(new LoadOutcome.Refused("no"));
            case "order not sent" -> platform.nextOutcomes.add(new LoadOutcome.NotSent("refused"));
            case "answer lost" -> platform.nextOutcomes.add(new LoadOutcome.Unknown("reset"));
            default -> assertEquals("nothing", fault);
        }
        assertEquals(expected, load("a"));
        assertEquals(orders, platform.loadOrders.get());
    }

    @Test
    void expiredLoadWithoutPermitIsRefusedForTheStore() throws Exception {
        platform.weightStoreDown = true;
        catalogueCache.refresh();
        assertEquals(LoadResult.LOADING, load("a"), "it is queued until the weight store's limits allow it");
        assertEquals(LoadResult.REFUSED_STORE, loadWithoutSlack("a"));
        assertEquals(0, platform.loadOrders.get());
    }

    /** Loads that wait for a permit hold the memory that they will take, so that all of them can be ordered later. */
    @Test
    void loadThatDoesNotFitBesideTheQueuedOnesIsRefusedForMemory() throws Exception {
        cap = 3;
        platform.weightStoreDown = true;
        catalogueCache.refresh();
        assertEquals(LoadResult.LOADING, load("a"));
        assertEquals(LoadResult.LOADING, load("b"));
        assertEquals(LoadResult.REFUSED_MEMORY, load("c"), "a and b will take 80 of 100 bytes");
        assertEquals(LoadResult.LOADING, load("a"), "a request for a queued load needs no further memory");
    }

    @Test
    void queuedLoadThatNoLongerFitsLeavesTheQueue() throws Exception {
        cap = 3;
        platform.weightStoreDown = true;
        catalogueCache.refresh();
        assertEquals(LoadResult.LOADING, load("a"));
        platform.loadUnordered(RUNNER, List.of(ModelVersion.of("b", "v1"), ModelVersion.of("c", "v1")));
        assertEquals(LoadResult.REFUSED_MEMORY, awaitRefusal("d"), "the engine has room for neither a nor d");
        platform.weightStoreDown = false;
        catalogueCache.refresh();
        platform.finishLoads();
        // The models without slot are unloaded; then a load that is still queued is ordered before the hand-over.
        awaitHandOver();
        assertEquals(0, platform.loadOrders.get(), "the load of a has left the queue");
    }

    /** Repeats a load until it is refused, as the agent sees a change of the engine only at its next inspection. */
    private LoadResult awaitRefusal(String model) throws Exception {
        LoadResult result = load(model);
        while (result == LoadResult.LOADING) {
            result = load(model);
        }
        return result;
    }

    @Test
    void expiredLoadWithoutMemoryIsRefusedForMemory() throws Exception {
        cap = 3;
        load("a");
        load("b");
        assertEquals(LoadResult.REFUSED_MEMORY, loadWithoutSlack("c"));
    }

    private LoadResult loadWithoutSlack(String model) throws Exception {
        LoadKey key = new LoadKey(ModelVersion.of(model, "v1"), Optional.empty());
        return agent.load(key, 0, SIZES).get(10, TimeUnit.SECONDS).getResult();
    }

    @Test
    void unansweredOrderReservesMemoryAndPreventsHandOverWithoutFencing() throws Exception {
        agent.close();
        start(false);
        platform.nextOutcomes.add(new LoadOutcome.Unknown("reset"));
        assertEquals(LoadResult.REFUSED_FAILED, load("a"));
        assertEquals(LoadResult.LOADING, load("b"));
        assertEquals(LoadResult.REFUSED_MEMORY, load("c"), "the unanswered load of a may still take 40 of 100 bytes");
        assertTrue(agent.handOver().get(10, TimeUnit.SECONDS).isPresent());
        assertFalse(
                agent.releaseIdleSlot("a").get(10, TimeUnit.SECONDS), "the unanswered load of a may still take effect");
    }

    @Test
    void refusedSecondOrderKeepsTheMemoryOfTheUnansweredOne() throws Exception {
        agent.close();
        start(false);
        platform.nextOutcomes.add(new LoadOutcome.Unknown("reset"));
        platform.nextOutcomes.add(new LoadOutcome.Refused("busy"));
        assertEquals(LoadResult.REFUSED_FAILED, load("a"));
        assertEquals(LoadResult.REFUSED_FAILED, load("a"));
        assertEquals(LoadResult.LOADING, load("b"));
        assertEquals(LoadResult.REFUSED_MEMORY, load("c"), "the unanswered load of a may still take 40 of 100 bytes");
    }

    @Test
    void unansweredOrderIsReleasedOnceTheEngineIsFencedAgain() throws Exception {
        platform.nextOutcomes.add(new LoadOutcome.Unknown("reset"));
        assertEquals(LoadResult.REFUSED_FAILED, load("a"));
        long fenceBefore = platform.fence(RUNNER);
        boolean released = agent.releaseIdleSlot("a").get(10, TimeUnit.SECONDS);
        while (!released) {
            released = agent.releaseIdleSlot("a").get(10, TimeUnit.SECONDS);
        }
        assertTrue(
                platform.fence(RUNNER) > fenceBefore,
                "the slot is free only once the engine has seen a higher fencing number");
    }

    @Test
    void runnerIsNotHandedOverDuringALoad() throws Exception {
        platform.holdLoads = true;
        assertEquals(LoadResult.LOADING, load("a"));
        assertTrue(agent.handOver().get(10, TimeUnit.SECONDS).isPresent());
        platform.finishLoads();
        awaitHandOver();
        assertTrue(agent.hasEnded());
    }

    private void awaitHandOver() throws Exception {
        Optional<String> refusal = agent.handOver().get(10, TimeUnit.SECONDS);
        while (refusal.isPresent()) {
            refusal = agent.handOver().get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * The answer to a preload, and the number of load orders that the engine carried out, for each state of the runner.
     */
    @ParameterizedTest(name = "{0}: {1}, {2} orders")
    @CsvSource({
        "slot and room, LOADING, 1",
        "no slot, REFUSED_CAP, 0",
        "runner drained, REFUSED_CAP, 0",
        "room only by unloading, REFUSED_MEMORY, 2",
        "a demand waits, REFUSED_STORE, 0",
        "no permit, REFUSED_STORE, 0",
        "loaded already, LOADED, 1",
    })
    void preloadNeitherEvictsNorDelaysOtherLoads(String state, LoadResult expected, int orders) throws Exception {
        cap = 3;
        ModelVersion model = ModelVersion.of("a", "v1");
        if (!state.equals("no slot")) {
            assertTrue(agent.grantSlot(model).get(10, TimeUnit.SECONDS));
        }
        switch (state) {
            case "runner drained" -> agent.setDraining(true);
            case "room only by unloading" -> {
                load("b");
                load("c");
            }
            case "a demand waits" -> {
                platform.weightStoreDown = true;
                catalogueCache.refresh();
                load("b");
            }
            case "no permit" -> {
                platform.weightStoreDown = true;
                catalogueCache.refresh();
            }
            case "loaded already" -> load("a");
            default -> assertTrue(state.equals("slot and room") || state.equals("no slot"), state);
        }
        assertEquals(expected, preload(model));
        assertEquals(orders, platform.loadOrders.get());
    }

    @Test
    void preloadedModelOutlivesItsKeepAliveAndIsEvictedForALoad() throws Exception {
        agent.close();
        keepAliveMs = 0;
        start(true);
        cap = 3;
        for (String model : List.of("a", "b")) {
            assertTrue(agent.grantSlot(ModelVersion.of(model, "v1")).get(10, TimeUnit.SECONDS));
            assertEquals(LoadResult.LOADING, preload(ModelVersion.of(model, "v1")));
        }
        assertEquals(
                LoadResult.LOADED, preload(ModelVersion.of("a", "v1")), "the model stays loaded for its hold time");
        LoadResult result = load("c");
        while (result == LoadResult.REFUSED_MEMORY) {
            result = load("c");
        }
        assertEquals(LoadResult.LOADING, result, "a load evicts models that are only held");
    }

    private LoadResult preload(ModelVersion model) throws Exception {
        LoadKey key = new LoadKey(model, Optional.empty());
        return agent.preload(key, SLACK_MS, SIZES).get(10, TimeUnit.SECONDS).getResult();
    }

    @Test
    void idleSlotIsGivenBackOnRequestAndAUsedOneIsNot() throws Exception {
        assertEquals(LoadResult.LOADING, load("a"));
        assertFalse(agent.releaseIdleSlot("a").get(10, TimeUnit.SECONDS));
        assertTrue(agent.grantSlot(ModelVersion.of("b", "v1")).get(10, TimeUnit.SECONDS));
        assertTrue(agent.releaseIdleSlot("b").get(10, TimeUnit.SECONDS));
    }
}
