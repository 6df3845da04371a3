package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.ModelUse;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests three coordinators and four runners in two zones. The engines of runners 1 and 3 check fencing tokens. */
class CoordinatorNodeTest {
    private static final List<String> NODES = List.of("entry-1", "entry-2", "entry-3");
    private static final List<String> RUNNERS = List.of("runner-1", "runner-2", "runner-3", "runner-4");
    private final TestFleet fleet = new TestFleet();

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < RUNNERS.size(); i++) {
            fleet.platform.addRunner(RUNNERS.get(i), "z" + (1 + i % 2), i % 2 == 0);
        }
        fleet.platform.addModel("mediation@v1");
        fleet.deploy("summary", 2);
        fleet.start("entry-1", "z1");
        fleet.start("entry-2", "z2");
        fleet.start("entry-3", "z2");
        for (String node : NODES) {
            fleet.await(
                    node,
                    "all runners are owned",
                    snapshot -> snapshot.getRunners().size() == RUNNERS.size()
                            && snapshot.getMembers().size() == NODES.size()
                            && snapshot.getConfigurationVersion() == 1);
        }
    }

    @AfterEach
    void close() {
        fleet.close();
        assertEquals(List.of(), fleet.platform.violations);
    }

    @Test
    void eachRunnerIsOwnedByItsPreferredNodeWithinItsZone() throws Exception {
        assertEquals(
                RUNNERS.size(),
                fleet.awaitPreferredOwners("entry-1").getRunners().size());
    }

    /** Six routers send the three coordinators 1,002 load requests for one cold model. */
    @Test
    void concurrentRequestsAtAllNodesCauseOneLoad() throws Exception {
        fleet.platform.holdLoads = true;
        try (ExecutorService routers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Set<LoadResult>>> answers = new ArrayList<>();
            for (int router = 0; router < 6; router++) {
                String node = NODES.get(router % NODES.size());
                answers.add(routers.submit(() -> requestLoads(node, 167)));
            }
            for (Future<Set<LoadResult>> answer : answers) {
                assertEquals(Set.of(LoadResult.LOADING), answer.get());
            }
        }
        assertEquals(1, fleet.platform.loadOrders.get());
        fleet.platform.finishLoads();
        for (String node : NODES) {
            fleet.await(node, "the model is loaded", snapshot -> isLoaded(snapshot, "summary@v1"));
        }
        assertEquals(LoadResult.LOADED, fleet.load("entry-3", "summary@v1", 1).getResult());
    }

    private Set<LoadResult> requestLoads(String node, int times) throws Exception {
        Set<LoadResult> results = EnumSet.noneOf(LoadResult.class);
        for (int i = 0; i < times; i++) {
            results.add(fleet.load(node, "summary@v1", 1).getResult());
        }
        return results;
    }

    private static boolean isLoaded(Snapshot snapshot, String name) {
        return snapshot.getRunners().stream()
                .flatMap(status -> status.getModels().stream())
                .anyMatch(model -> model.getModel().equals(name) && model.getState() == LoadState.LOADED);
    }

    @Test
    void replicasStayWithinTheCapAndShrinkWhenItIsLowered() throws Exception {
        for (int i = 0; i < 4; i++) {
            fleet.load("entry-1", "summary@v1", 4);
        }
        fleet.await("entry-1", "two replicas are loaded", snapshot -> fleet.platform.countReplicas("summary") == 2);
        fleet.load("entry-1", "summary@v1", 4);
        fleet.changeCap("summary", 1);
        fleet.await(
                "entry-1", "the surplus replica is unloaded", snapshot -> fleet.platform.countReplicas("summary") == 1);
        assertEquals(2L, fleet.platform.maxReplicasByModel.get("summary"));
    }

    @Test
    void loadOfAnUnknownModelIsRefused() throws Exception {
        assertEquals(
                LoadResult.REFUSED_UNKNOWN,
                fleet.load("entry-1", "nothing@v1", 1).getResult());
    }

    @Test
    void coldStartNeedsNoKeyValueStoreOnceSlotsArePreallocated() throws Exception {
        for (String node : NODES) {
            fleet.await(node, "both slots are granted", snapshot -> countSlotHolders(snapshot, "summary@v1") == 2);
        }
        fleet.platform.kv.unavailable(true);
        LoadResult result = fleet.load("entry-1", "summary@v1", 1).getResult();
        assertTrue(result == LoadResult.LOADING || result == LoadResult.LOADED, result.name());
    }

    private static long countSlotHolders(Snapshot snapshot, String model) {
        return snapshot.getRunners().stream()
                .filter(status -> status.getSlots().contains(model))
                .count();
    }

    @Test
    void modelWithExpectedDemandIsLoadedAheadOnceAndStaysLoaded() throws Exception {
        fleet.deploy("mediation", 2, 1_000_000);
        for (String node : NODES) {
            fleet.await(node, "both slots are granted", snapshot -> countSlotHolders(snapshot, "mediation@v1") == 2);
        }
        reportUse("entry-2", "mediation@v1");
        for (String node : NODES) {
            fleet.await(node, "mediation is loaded", snapshot -> isLoaded(snapshot, "mediation@v1"));
        }
        reportUse("entry-3", "mediation@v1");
        assertEquals(LoadResult.LOADED, fleet.load("entry-1", "mediation@v1", 1).getResult());
        assertEquals(1, fleet.platform.loadOrders.get());
    }

    @Test
    void modelWithoutExpectedDemandIsNotLoadedAhead() throws Exception {
        fleet.deploy("mediation", 2, 1_000_000);
        for (String node : NODES) {
            fleet.await(node, "both slots are granted", snapshot -> countSlotHolders(snapshot, "mediation@v1") == 2);
        }
        reportUse("entry-2", "summary@v1");
        reportUse("entry-2", "mediation@v1");
        fleet.await("entry-1", "mediation is loaded", snapshot -> isLoaded(snapshot, "mediation@v1"));
        assertEquals(0, fleet.platform.countReplicas("summary"));
    }

    /**
     * The home node of a model records demand and is killed. The node next in rank must load the model ahead without
     * another request.
     */
    @Test
    void demandStatisticsSurviveTheLossOfTheirHomeNode() throws Exception {
        fleet.deploy("mediation", 0, 1_000_000);
        String homeNode = RendezvousHash.preferred("mediation", NODES).orElseThrow();
        List<String> others =
                NODES.stream().filter(node -> !node.equals(homeNode)).toList();
        String successorNode = RendezvousHash.preferred("mediation", others).orElseThrow();
        String remainingNode = others.stream()
                .filter(node -> !node.equals(successorNode))
                .findFirst()
                .orElseThrow();
        reportUse(homeNode, "mediation@v1");
        fleet.await(
                successorNode,
                "the successor has the demand statistics",
                snapshot -> fleet.hasDemandStatistics(successorNode, "mediation@v1"));
        fleet.kill(homeNode);
        fleet.await(
                remainingNode,
                "the remaining node has the demand statistics",
                snapshot -> fleet.hasDemandStatistics(remainingNode, "mediation@v1"));
        assertEquals(0, fleet.platform.loadOrders.get());
        fleet.changeCap("mediation", 1, 1_000_000);
        fleet.await(remainingNode, "mediation is loaded", snapshot -> isLoaded(snapshot, "mediation@v1"));
        assertEquals(1, fleet.platform.loadOrders.get());
    }

    private void reportUse(String node, String model) throws Exception {
        ModelUse use = new ModelUse(model, "runner-1", 1, 0);
        fleet.call(node, coordinator -> {
            coordinator.reportUse(List.of(use), 0);
            return true;
        });
    }

    @Test
    void runnerWithFencingIsTakenOverWhenItsOwnerIsKilled() throws Exception {
        RunnerStatus before = TestFleet.runnerStatus(fleet.awaitPreferredOwners("entry-2"), "runner-1")
                .orElseThrow();
        fleet.kill(before.getOwnerNode());
        Snapshot after = fleet.await(
                survivingNode(before),
                "runner-1 has a new owner",
                snapshot -> TestFleet.runnerStatus(snapshot, "runner-1")
                        .filter(status -> status.getEpoch() > before.getEpoch())
                        .isPresent());
        assertNotEquals(
                before.getOwnerNode(),
                TestFleet.runnerStatus(after, "runner-1").orElseThrow().getOwnerNode());
    }

    @Test
    void runnerWithoutFencingIsTakenOverOnlyOnceItsOwnerIsListedAsGone() throws Exception {
        RunnerStatus before = TestFleet.runnerStatus(fleet.awaitPreferredOwners("entry-2"), "runner-2")
                .orElseThrow();
        String address = fleet.address(before.getOwnerNode());
        fleet.kill(before.getOwnerNode());
        String observer = survivingNode(before);
        fleet.await(
                observer,
                "the owner is declared dead",
                snapshot -> snapshot.getMembers().stream()
                        .anyMatch(member -> member.getNode().equals(before.getOwnerNode())
                                && member.getStatus() == MemberStatus.DEAD));
        String refusal = fleet.await(
                        observer,
                        "the takeover is refused",
                        snapshot -> fleet.acquisitionObstacles().contains("runner-2"))
                .toString();
        assertTrue(refusal.contains("runner-2"));
        fleet.platform.addEntryHost(before.getOwnerNode(), address, "z2");
        fleet.platform.setState(before.getOwnerNode(), HostState.GONE);
        fleet.await(
                observer,
                "runner-2 has a new owner",
                snapshot -> TestFleet.runnerStatus(snapshot, "runner-2")
                        .filter(status -> status.getEpoch() > before.getEpoch())
                        .isPresent());
    }

    @Test
    void gracefulStopHandsRunnersOver() throws Exception {
        RunnerStatus before = TestFleet.runnerStatus(fleet.awaitPreferredOwners("entry-2"), "runner-2")
                .orElseThrow();
        fleet.stopGracefully(before.getOwnerNode());
        fleet.await(
                survivingNode(before),
                "runner-2 has a new owner",
                snapshot -> TestFleet.runnerStatus(snapshot, "runner-2")
                        .filter(status -> status.getEpoch() > before.getEpoch())
                        .isPresent());
    }

    @Test
    void leavingRunnersAreMarkedAndReceiveNoLoads() throws Exception {
        for (String runner : RUNNERS) {
            fleet.platform.setState(runner, HostState.LEAVING);
        }
        fleet.await(
                "entry-3",
                "all runners are leaving",
                snapshot -> snapshot.getRunners().stream().allMatch(RunnerStatus::isLeaving));
        assertEquals(
                LoadResult.REFUSED_MEMORY,
                fleet.load("entry-3", "summary@v1", 1).getResult());
        assertEquals(0, fleet.platform.loadOrders.get());
    }

    private static String survivingNode(RunnerStatus status) {
        return NODES.stream()
                .filter(node -> !node.equals(status.getOwnerNode()))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void explainReportsModelStateHistoryAndRunnerOwner() throws Exception {
        String cold = explain("entry-1", "summary-desk");
        assertTrue(cold.contains("summary@v1 | state | cold"), cold);
        assertTrue(cold.contains("summary@v1 | if asked now | loaded on runner-"), cold);
        assertFalse(cold.contains("last asked"), cold);
        fleet.load("entry-1", "summary@v1", 1);
        fleet.await("entry-1", "the model is loaded", snapshot -> isLoaded(snapshot, "summary@v1"));
        String warm = explain("entry-1", "summary");
        assertTrue(warm.contains("summary@v1 | state | loaded on runner-"), warm);
        assertTrue(warm.contains("summary@v1 | last asked | "), warm);
        fleet.platform.hosts.keySet().forEach(runner -> fleet.platform.setState(runner, HostState.LEAVING));
        for (String node : NODES) {
            fleet.await(
                    node,
                    "all runners are leaving",
                    snapshot -> snapshot.getRunners().stream().allMatch(RunnerStatus::isLeaving));
        }
        fleet.load("entry-1", "summary@v1", 1);
        assertTrue(explain("entry-1", "summary").contains("last refused"), explain("entry-1", "summary"));
        String runner = RUNNERS.get(0);
        String owners = NODES.stream().map(node -> explain(node, runner)).collect(Collectors.joining());
        assertEquals(
                1, owners.lines().filter(line -> line.contains("owned since")).count(), owners);
        assertEquals("", explain("entry-1", "nothing"));
    }

    private String explain(String node, String subject) {
        try {
            return fleet.call(node, coordinator -> coordinator.explain(subject)).stream()
                    .map(line -> line.getSubject() + " | " + line.getAttribute() + " | " + line.getValue() + "\n")
                    .collect(Collectors.joining());
        } catch (WireException e) {
            throw new AssertionError(e);
        }
    }
}
