package io.persimmonstack.coordinator;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.CommitOutcome;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.function.Predicate;

/** Several coordinators in one process that communicate over loopback and use an in-memory platform. */
final class TestFleet implements AutoCloseable {
    private static final int AWAIT_TIMEOUT_MS = 20_000;
    private static final int SNAPSHOT_WAIT_MS = 1_000;
    final FakePlatform platform = new FakePlatform();
    private final Map<String, CoordinatorNode> nodes = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, Closer> closers = Collections.synchronizedMap(new LinkedHashMap<>());
    private final ThriftPeers<Coordinator.Client> client = ThriftPeers.of(new Coordinator.Client.Factory(), 1_000);
    private final List<Deployment> deployments = new ArrayList<>();
    /** Version of the configuration committed last, 0 before the first. */
    private long committedVersion;

    /** Starts a node with short intervals that joins the running nodes. */
    void start(String node, String zone) throws Exception {
        String seeds = runningNodes().stream()
                .map(nodes::get)
                .map(running -> "\"" + running.address() + "\"")
                .reduce((left, right) -> left + "," + right)
                .orElse("");
        CoordinatorSettings settings =
                SettingsReader.parse("""
                {"node": "%s", "zone": "%s", "region": "south", "address": "127.0.0.1:0", "seeds": [%s],
                 "kv": {"endpoint": "127.0.0.1:1"}, "hostList": "127.0.0.1:1", "weightStore": "127.0.0.1:1",
                 "probeIntervalMs": 100, "suspicionTimeoutMs": 500, "synchronizeIntervalMs": 200,
                 "hostListIntervalMs": 100, "configurationIntervalMs": 200, "ownershipIntervalMs": 100,
                 "inspectIntervalMs": 100, "loadAheadIntervalMs": 100, "demandIntervalMs": 100, "stopTimeoutMs": 5000}
                """.formatted(node, zone, seeds), "test", CoordinatorSettings.class);
        Closer closer = Closer.create();
        Tracing tracing = closer.add(Tracing.of("test"));
        ProgramContext context = new ProgramContext(new MetricRegistry(), Readiness.starting(), tracing, closer);
        closers.put(node, closer);
        nodes.put(node, CoordinatorNode.start(settings, context, platform.clients()));
    }

    /** Adds a model with one version to the weight store and commits a deployment of it with the given replica cap. */
    void deploy(String model, int cap) throws Exception {
        deploy(model, cap, 30);
    }

    void deploy(String model, int cap, double coldStartWeight) throws Exception {
        platform.addModel(model + "@v1");
        deployments.add(new Deployment(
                model + "-desk", model, List.of("v1"), List.of(), List.of("desk"), 3, cap, 1, coldStartWeight, 60_000));
        commitConfiguration();
    }

    void deployWithAdapters(String model, int cap, List<String> adapters) throws Exception {
        deployments.add(new Deployment(
                model + "-desk", model, List.of("v1"), adapters, List.of("desk"), 3, cap, 1, 30, 60_000));
        commitConfiguration();
    }

    /** Commits a configuration with another replica cap for a model. */
    void changeCap(String model, int cap) throws Exception {
        changeCap(model, cap, 30);
    }

    void changeCap(String model, int cap, double coldStartWeight) throws Exception {
        deployments.replaceAll(deployment -> deployment.model().equals(model)
                ? new Deployment(
                        deployment.name(),
                        model,
                        deployment.versions(),
                        deployment.adapters(),
                        deployment.callers(),
                        3,
                        cap,
                        1,
                        coldStartWeight,
                        60_000)
                : deployment);
        commitConfiguration();
    }

    private void commitConfiguration() throws Exception {
        ConfigurationStore store =
                ConfigurationStore.of(platform.kv, ConfigurationHeadCodec.create(), TimeSource.system());
        FleetConfiguration next = new FleetConfiguration(committedVersion + 1, deployments, List.of(), List.of());
        CommitOutcome outcome = store.commit(
                committedVersion,
                ConfigurationCodec.encode(next),
                UUID.randomUUID().toString(),
                "test");
        committedVersion = ((CommitOutcome.Committed) outcome).head().version();
    }

    /** Closes a node as if its process were killed: it neither announces its end nor hands runners over. */
    void kill(String node) {
        nodes.remove(node).close();
        closers.remove(node).close();
    }

    /** Stops a node gracefully, as on SIGTERM. */
    void stopGracefully(String node) throws InterruptedException {
        nodes.get(node).stop();
        kill(node);
    }

    <T> T call(String node, ThriftPeers.Call<Coordinator.Client, T> call) throws WireException {
        return call(nodes.get(node), call);
    }

    private <T> T call(CoordinatorNode node, ThriftPeers.Call<Coordinator.Client, T> call) throws WireException {
        return client.call(PeerAddress.parse(node.address()), 10_000, call);
    }

    LoadAnswer load(String node, String model, int replicas) throws WireException {
        return load(nodes.get(node), model, replicas);
    }

    private LoadAnswer load(CoordinatorNode node, String model, int replicas) throws WireException {
        LoadRequest request = new LoadRequest(model, 10_000, 1, "z1", replicas, 0);
        return call(node, coordinator -> coordinator.load(request, Map.of()));
    }

    LoadAnswer load(String node, LoadRequest request) throws WireException {
        return call(node, coordinator -> coordinator.load(request, Map.of()));
    }

    /** Returns the names of the running nodes. */
    List<String> runningNodes() {
        synchronized (nodes) {
            return List.copyOf(nodes.keySet());
        }
    }

    /** Sends a load request to the nodes in random order, as a router does, until one answers. */
    Optional<LoadAnswer> loadFromAnyNode(String model, Random random) {
        List<CoordinatorNode> candidates;
        synchronized (nodes) {
            candidates = new ArrayList<>(nodes.values());
        }
        Collections.shuffle(candidates, random);
        for (CoordinatorNode node : candidates) {
            try {
                return Optional.of(load(node, model, 2));
            } catch (WireException e) {
                continue;
            }
        }
        return Optional.empty();
    }

    /** Follows a node's snapshots until one meets the condition; fails after 20 s. */
    Snapshot await(String node, String expectation, Predicate<Snapshot> condition) throws WireException {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000L;
        long knownSequence = 0;
        Snapshot last = null;
        while (System.nanoTime() - deadline < 0) {
            SnapshotRequest request =
                    new SnapshotRequest("test", knownSequence, 0, SNAPSHOT_WAIT_MS, RouterState.SERVING, 1, node);
            last = call(node, coordinator -> coordinator.awaitSnapshot(request));
            if (condition.test(last)) {
                return last;
            }
            knownSequence = last.getSequence();
        }
        throw new AssertionError(node + ": timed out waiting until " + expectation + "; last snapshot: " + last);
    }

    /** Returns whether a node has demand statistics for a model version. */
    boolean hasDemandStatistics(String node, String model) {
        return nodes.get(node)
                .modelsWithDemandStatistics()
                .contains(new LoadKey(ModelVersion.parse(model), Optional.empty()));
    }

    /** Waits until every runner is owned by the preferred node of its zone, where ownership is stable. */
    Snapshot awaitPreferredOwners(String node) throws WireException {
        return await(
                node,
                "each runner has its preferred owner",
                snapshot -> snapshot.getRunners().stream()
                        .allMatch(status -> preferredOwner(snapshot, status).equals(status.getOwnerNode())));
    }

    private static String preferredOwner(Snapshot snapshot, RunnerStatus status) {
        List<String> ownZone = snapshot.getMembers().stream()
                .filter(member -> member.getZone().equals(status.getZone()))
                .map(Member::getNode)
                .toList();
        return RendezvousHash.preferred(status.getRunner(), ownZone).orElseThrow();
    }

    String address(String node) {
        return nodes.get(node).address();
    }

    /** Returns the runners that some node should own but cannot acquire yet. */
    List<String> acquisitionObstacles() {
        return runningNodes().stream()
                .map(nodes::get)
                .flatMap(node -> node.acquisitionObstacles().keySet().stream())
                .toList();
    }

    static Optional<RunnerStatus> runnerStatus(Snapshot snapshot, String runner) {
        return snapshot.getRunners().stream()
                .filter(status -> status.getRunner().equals(runner))
                .findFirst();
    }

    @Override
    public void close() {
        List.copyOf(nodes.keySet()).forEach(this::kill);
        client.close();
    }
}
