package io.persimmonstack.coordination.grant;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.FaultyKvStore.Fault;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

/**
 * Runs random schedules of three nodes, one fencing engine and two engines that ignore fencing tokens, with store
 * faults, pauses, process deaths and late orders. Checks caps and memory limits after every step.
 */
class GrantScheduleTest {
    private static final int CAP = 2;
    private static final int MAX_LOADED_MODELS = 1;
    private static final int STEPS = 1_000;
    private static final int NODES = 3;
    private static final int MIN_ORDERS_OF_BUSY_SCHEDULE = 5;
    private static final int MIN_BUSY_SCHEDULES_PERCENT = 80;
    private static final List<String> RUNNERS = List.of("runner-1", "runner-2", "runner-3");
    private static final List<ModelVersion> SLOTS =
            List.of(ModelVersion.of("a", "v1"), ModelVersion.of("a", "v2"), ModelVersion.of("b", "v1"));

    private final GrantRecords records = new GrantRecords(CAP);
    private final Map<String, FakeEngine> engines = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Set<NodeIdentity> deadProcesses =
            new TreeSet<>((a, b) -> a.toString().compareTo(b.toString()));
    private Random random = new Random(0);
    private int ordersSent;

    /** Process of a node, with the models that it believes loaded or loading, by runner name and epoch. */
    private final class Node {
        private final NodeIdentity identity;
        private final FaultyKvStore store = new FaultyKvStore(records.store);
        private final RunnerGrants grants;
        private final Map<String, Set<ModelVersion>> believedLoaded = new TreeMap<>();

        private Node(NodeIdentity identity) {
            this.identity = identity;
            this.grants = RunnerGrants.create(identity, store, records.codecs);
        }
    }

    @Property(tries = 120, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void capsAndMemoryLimitsHold(@ForAll long scheduleSeed) throws KvException {
        GrantScheduleTest run = new GrantScheduleTest();
        run.random = new Random(scheduleSeed);
        run.start();
        for (int i = 0; i < STEPS; i++) {
            run.step();
            run.check();
        }
        Statistics.collect(run.ordersSent >= MIN_ORDERS_OF_BUSY_SCHEDULE);
        Statistics.coverage(
                coverage -> coverage.check(true).percentage(percentage -> percentage > MIN_BUSY_SCHEDULES_PERCENT));
    }

    private void start() {
        RUNNERS.forEach(runner -> engines.put(runner, new FakeEngine(runner.equals("runner-1"))));
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(NodeIdentity.of("node-" + i, 1)));
        }
    }

    private void step() throws KvException {
        Node node = nodes.get(random.nextInt(NODES));
        String runner = RUNNERS.get(random.nextInt(RUNNERS.size()));
        ModelVersion slot = SLOTS.get(random.nextInt(SLOTS.size()));
        switch (random.nextInt(24)) {
            case 0, 1, 17, 18 -> attempt(() -> acquire(node, runner));
            case 2, 3, 4 -> attempt(() -> node.grants.grant(runner, slot, ReplicaCap.of(CAP, 1)));
            case 5, 6, 19, 20 -> orderLoadOrUnload(node, runner, slot);
            case 7, 8, 21 -> deliverOrLoseOrder(runner);
            case 9 -> inspectEngine(node, runner);
            case 10 -> attempt(() -> giveBack(node, runner, slot));
            case 11 -> attempt(() -> handOver(node, runner));
            case 12 -> attempt(() -> node.grants.reconcile(model -> ReplicaCap.of(CAP, 1)));
            case 13 -> node.store.failAfter(random.nextInt(3), Fault.values()[random.nextInt(3)]);
            case 14, 15, 16, 22 -> node.store.heal();
            default -> deliverLateWriteOrKill(node);
        }
    }

    private interface KvOperation {
        void run() throws KvException;
    }

    private static void attempt(KvOperation operation) {
        try {
            operation.run();
        } catch (KvException e) {
            // Expected: a later step may try again.
        }
    }

    private void acquire(Node node, String runner) throws KvException {
        if (!(node.grants.acquire(runner, takeoverEvidence(runner)) instanceof AcquireResult.Acquired acquired)) {
            return;
        }
        FakeEngine engine = engines.get(runner);
        OwnedRunner owned = acquired.runner();
        boolean firstAcquisition = !node.believedLoaded.containsKey(runner + owned.epoch());
        if (owned.phase() == OwnedRunner.Phase.FENCING && engine.acceptEpoch(owned.epoch())) {
            node.grants.confirmFenced(runner);
        }
        if (firstAcquisition && node.grants.owned(runner).orElseThrow().mayOrder()) {
            node.believedLoaded.put(runner + owned.epoch(), new TreeSet<>(engine.loaded));
        }
    }

    private TakeoverEvidence takeoverEvidence(String runner) {
        if (engines.get(runner).fencing()) {
            return TakeoverEvidence.fencedEngine();
        }
        return deadProcesses.stream()
                .filter(process -> !engines.get(runner).hasOrdersInFlightFrom(process))
                .skip(deadProcesses.isEmpty() ? 0 : random.nextInt(deadProcesses.size()))
                .findFirst()
                .map(TakeoverEvidence::predecessorGone)
                .orElseGet(TakeoverEvidence::handedOver);
    }

    /** Orders the load of a model if it fits, or its unload if the node believes it loaded. */
    private void orderLoadOrUnload(Node node, String runner, ModelVersion slot) {
        OwnedRunner owned = node.grants.owned(runner).orElse(null);
        if (owned == null || !owned.mayOrder() || engines.get(runner).hasOrdersInFlightFrom(node.identity)) {
            return;
        }
        Set<ModelVersion> believed = node.believedLoaded.get(runner + owned.epoch());
        boolean unload = believed.contains(slot);
        if (unload || owned.slots().contains(slot) && believed.size() < MAX_LOADED_MODELS) {
            engines.get(runner).send(node.identity, owned.epoch(), !unload, slot);
            believed.add(slot);
            ordersSent++;
        }
    }

    private void deliverOrLoseOrder(String runner) {
        FakeEngine engine = engines.get(runner);
        if (engine.ordersInFlight() > 0) {
            engine.deliver(random.nextInt(engine.ordersInFlight()), random.nextInt(6) == 0);
        }
    }

    private void inspectEngine(Node node, String runner) {
        OwnedRunner owned = node.grants.owned(runner).orElse(null);
        if (owned != null && owned.mayOrder() && hasNoOrdersInFlight(node, runner)) {
            node.believedLoaded.put(runner + owned.epoch(), new TreeSet<>(engines.get(runner).loaded));
        }
    }

    private void giveBack(Node node, String runner, ModelVersion slot) throws KvException {
        OwnedRunner owned = node.grants.owned(runner).orElse(null);
        if (owned != null
                && owned.mayOrder()
                && hasNoOrdersInFlight(node, runner)
                && !node.believedLoaded.get(runner + owned.epoch()).contains(slot)) {
            node.grants.giveBack(runner, slot);
        }
    }

    private void handOver(Node node, String runner) throws KvException {
        if (hasNoOrdersInFlight(node, runner)) {
            node.grants.handOver(runner);
        }
    }

    private boolean hasNoOrdersInFlight(Node node, String runner) {
        return !engines.get(runner).hasOrdersInFlightFrom(node.identity);
    }

    /** Delivers late writes, or replaces the process by its next incarnation, which has no state. */
    private void deliverLateWriteOrKill(Node node) throws KvException {
        if (random.nextInt(8) > 0) {
            node.store.deliverLate();
        } else {
            deadProcesses.add(node.identity);
            nodes.set(
                    nodes.indexOf(node),
                    new Node(NodeIdentity.of(node.identity.node(), node.identity.incarnation() + 1)));
        }
    }

    private void check() throws KvException {
        records.checkInvariants();
        for (FakeEngine engine : engines.values()) {
            assertTrue(engine.loaded.size() <= MAX_LOADED_MODELS, () -> "memory overcommitted: " + engine.loaded);
        }
        for (ModelVersion slot : SLOTS) {
            long replicas = engines.values().stream()
                    .flatMap(engine -> engine.loaded.stream())
                    .filter(loaded -> loaded.model().equals(slot.model()))
                    .count();
            assertTrue(replicas <= CAP, () -> replicas + " replicas of " + slot.model());
        }
    }
}
