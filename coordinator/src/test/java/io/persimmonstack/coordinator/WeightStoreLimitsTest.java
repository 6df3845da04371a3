package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostKind;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that several owners together respect the limits of the weight store, as observed by the engines. */
class WeightStoreLimitsTest {
    private static final List<String> NODES = List.of("entry-1", "entry-2", "entry-3");
    private static final int RUNNERS = 8;
    private static final int FULL_SPEED_LOADS = 4;
    private static final int MODELS = 8;
    /** Time until the most urgent waiting request times out. */
    private static final int SLACK_MS = 60_000;

    private final TestFleet fleet = new TestFleet();

    private void start(int cap) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            fleet.platform.addRunner("runner-" + (i + 1), "z" + (1 + i % 2), i % 2 == 0);
        }
        for (int i = 0; i < MODELS; i++) {
            fleet.deploy("m" + i, cap);
        }
        List<String> zones = List.of("z1", "z2", "z2");
        for (int i = 0; i < NODES.size(); i++) {
            fleet.start(NODES.get(i), zones.get(i));
        }
        for (String node : NODES) {
            fleet.await(
                    node,
                    "all runners are owned",
                    snapshot -> snapshot.getRunners().size() == RUNNERS
                            && snapshot.getMembers().size() == NODES.size());
        }
        for (String node : NODES) {
            fleet.awaitPreferredOwners(node);
        }
    }

    @AfterEach
    void close() {
        fleet.close();
        assertEquals(List.of(), fleet.platform.violations);
    }

    private static LoadRequest request(String model) {
        return new LoadRequest(model + "@v1", SLACK_MS, 1, "z1", 1, 0);
    }

    private List<LoadResult> requestLoads(List<String> nodes, List<LoadRequest> requests) throws Exception {
        try (ExecutorService routers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<LoadAnswer>> answers = new ArrayList<>();
            for (int i = 0; i < requests.size(); i++) {
                String node = nodes.get(i % nodes.size());
                LoadRequest request = requests.get(i);
                answers.add(routers.submit(() -> fleet.load(node, request)));
            }
            List<LoadResult> results = new ArrayList<>();
            for (Future<LoadAnswer> answer : answers) {
                results.add(answer.get().getResult());
            }
            return results;
        }
    }

    @Test
    void concurrentLoadsOfAllOwnersStayWithinTheLimit() throws Exception {
        start(1);
        for (String node : NODES) {
            fleet.await(node, "each model has a slot", snapshot -> countSlots(snapshot) == MODELS);
        }
        fleet.platform.holdLoads = true;
        List<LoadRequest> requests =
                IntStream.range(0, MODELS).mapToObj(i -> request("m" + i)).toList();
        requestLoads(NODES, requests).forEach(result -> assertEquals(LoadResult.LOADING, result));
        fleet.await(
                "entry-1", "four loads have started", snapshot -> fleet.platform.countLoading() == FULL_SPEED_LOADS);
        for (int started = FULL_SPEED_LOADS + 1; started <= MODELS; started++) {
            int expected = started;
            fleet.platform.finishOneLoad();
            fleet.await(
                    "entry-1", "the next load has started", snapshot -> fleet.platform.loadOrders.get() >= expected);
        }
        assertEquals(MODELS, fleet.platform.loadOrders.get());
        assertEquals(FULL_SPEED_LOADS, fleet.platform.maxConcurrentLoads.get());
    }

    private static int countSlots(Snapshot snapshot) {
        return snapshot.getRunners().stream()
                .mapToInt(runner -> runner.getSlots().size())
                .sum();
    }

    @Test
    void adapterLoadsOfAllOwnersStayWithinTheInFlightLimit() throws Exception {
        int limit = 3;
        fleet.platform.adaptersInFlight = limit;
        fleet.platform.addModel("base@v1");
        List<String> adapters =
                IntStream.range(0, 3 * limit).mapToObj(i -> "a" + i).toList();
        adapters.forEach(adapter -> fleet.platform.addAdapter("base@v1", adapter));
        fleet.deployWithAdapters("base", RUNNERS, adapters);
        start(0);
        LoadRequest requestOnAllRunners = request("base");
        requestOnAllRunners.setReplicasWanted(RUNNERS);
        for (int i = 0; i < RUNNERS; i++) {
            fleet.load("entry-1", requestOnAllRunners);
        }
        for (String node : NODES) {
            fleet.await(
                    node,
                    "the base is loaded",
                    snapshot -> snapshot.getRunners().stream()
                            .anyMatch(runner -> !runner.getModels().isEmpty()));
        }
        fleet.platform.holdAdapters = true;
        List<LoadRequest> requests = adapters.stream()
                .map(adapter -> request("base").setAdapter(adapter))
                .toList();
        requestLoads(NODES, requests).forEach(result -> assertEquals(LoadResult.LOADING, result));
        for (int started = limit; started <= adapters.size(); started++) {
            int expected = started;
            fleet.await(
                    "entry-1",
                    "the expected adapter loads are ordered",
                    snapshot -> fleet.platform.adapterOrders.get() >= expected);
            fleet.platform.finishOneAdapterLoad();
        }
        assertEquals(limit, fleet.platform.maxConcurrentAdapterLoads.get());
    }

    /**
     * An owner that sees both other nodes dead may itself be partitioned from them. It must use only its own share of
     * the limit until the host list reports them as gone.
     */
    @Test
    void ownerThatMayBePartitionedUsesOnlyItsOwnShare() throws Exception {
        start(RUNNERS);
        String owner = "entry-1";
        List<String> others = NODES.subList(1, NODES.size());
        int share = LimitShare.of("store-loads", owner)
                .allocate(FULL_SPEED_LOADS, NODES)
                .get(owner);
        List<String> addresses = others.stream().map(fleet::address).toList();
        others.forEach(fleet::kill);
        fleet.await(
                owner,
                "the others are declared dead",
                snapshot -> snapshot.getMembers().stream()
                        .filter(member -> !member.getNode().equals(owner))
                        .allMatch(member -> member.getStatus() == MemberStatus.DEAD));
        fleet.platform.holdLoads = true;
        List<LoadRequest> requests = IntStream.range(0, FULL_SPEED_LOADS)
                .mapToObj(i -> request("m" + i))
                .toList();
        requestUntilLoading(owner, requests, share);
        assertTrue(share < FULL_SPEED_LOADS);
        assertEquals(share, fleet.platform.maxConcurrentLoads.get());
        for (int i = 0; i < others.size(); i++) {
            fleet.platform.hosts.put(others.get(i), goneEntryHost(others.get(i), addresses.get(i)));
        }
        requestUntilLoading(owner, requests, FULL_SPEED_LOADS);
        assertEquals(FULL_SPEED_LOADS, fleet.platform.maxConcurrentLoads.get());
    }

    /** Repeats the requests as routers do, because a runner may be full before a request is processed. */
    private void requestUntilLoading(String node, List<LoadRequest> requests, int loading) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (fleet.platform.countLoading() != loading) {
            assertTrue(
                    System.nanoTime() < end,
                    fleet.platform.countLoading() + " models are loading, expected " + loading);
            requestLoads(List.of(node), requests);
            Thread.sleep(50);
        }
    }

    private static Host goneEntryHost(String node, String address) {
        return new Host(
                node,
                HostKind.ENTRY,
                HostState.GONE,
                PeerAddress.parse(address),
                "z2",
                "south",
                Optional.empty(),
                false);
    }
}
