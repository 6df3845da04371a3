package io.persimmonstack.node.caps;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.coordination.cap.CapShare;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.wire.gen.NodeLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Nodes on loopback share caps while holders and leaders come and go. */
class UsageCapsTest {
    private static final long MAX_AWAIT_MS = 15_000;
    /** Rights of this length do not end during a test. */
    private static final CapBounds LONG = new CapBounds(60_000, 0.1, 7_500);

    private static final CapBounds SHORT = new CapBounds(1_500, 0.3, 7_500);
    private static final Workspace LARGE = workspace(400_000, 400_000);
    private static final Workspace SMALL = workspace(2_000, 4_000);

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final AtomicReference<CappedNode> leader = new AtomicReference<>();
    private final List<CappedNode> nodes = new ArrayList<>();

    private static Workspace workspace(double rate, double burst) {
        return new Workspace("w", 0, Optional.of(new UsageCap(UsageCap.Unit.TOKENS, rate, burst, 200)));
    }

    @AfterEach
    void closeNodes() {
        nodes.forEach(CappedNode::close);
    }

    private CappedNode start(String name, long startedMs, CapBounds bounds, Workspace workspace) throws Exception {
        CappedNode node = CappedNode.start(name, startedMs, bounds, workspace, store, leader);
        nodes.add(node);
        return node;
    }

    private void listAll() {
        nodes.forEach(node ->
                node.list(nodes.stream().map(CappedNode::peer).collect(Collectors.toMap(Peer::node, peer -> peer))));
    }

    private void elect(CappedNode node, long term) {
        leader.set(node);
        node.lead(OptionalLong.of(term));
    }

    private void kill(CappedNode node) {
        node.close();
        nodes.remove(node);
        listAll();
    }

    private int allHeld() {
        return nodes.stream().mapToInt(CappedNode::heldSlots).sum();
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_AWAIT_MS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, description);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void startThree(CapBounds bounds, Workspace workspace) throws Exception {
        start("a", 1, bounds, workspace);
        start("b", 1, bounds, workspace);
        start("c", 1, bounds, workspace);
        listAll();
        elect(nodes.getFirst(), 5);
        await("slots are held", () -> allHeld() == CapShare.SLOTS);
    }

    private static Refusal refusal(CappedNode node, int tokens) {
        return assertThrows(RefusedException.class, () -> node.admit(tokens)).refusal();
    }

    /** Calls to the store are priced: a table that does not change must not be written again. */
    @Test
    void slotsAreSpreadAndTheTableIsWrittenOnce() throws Exception {
        startThree(LONG, LARGE);
        for (CappedNode node : nodes) {
            assertTrue(node.heldSlots() >= 2, "spread over all nodes");
            await("admitted", () -> node.admits(100));
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertEquals(1, store.writes());
        assertEquals(1, store.reads());
    }

    @Test
    void withoutCapsNothingIsCalledOrSent() throws Exception {
        CappedNode node = start("a", 1, LONG, new Workspace("w", 0, Optional.empty()));
        listAll();
        elect(node, 5);
        await("reported", () -> node.lastReport() != null);
        TimeUnit.MILLISECONDS.sleep(300);
        NodeLoad report = node.lastReport();
        assertFalse(report.isSetStartedMs() || report.isSetHeldSlots() || report.isSetCapTableTerm());
        assertEquals(0, store.reads() + store.writes());
        assertTrue(node.admits(100_000_000));
    }

    /** The other holders serve a workspace meanwhile, and get the slots once the right of the dead one has ended. */
    @Test
    void slotsOfAKilledHolderAreTakenOver() throws Exception {
        startThree(SHORT, LARGE);
        CappedNode killed = nodes.get(1);
        kill(killed);
        for (CappedNode node : nodes) {
            await("admitted", () -> node.admits(100));
        }
        await("slots are taken over", () -> allHeld() == CapShare.SLOTS);
    }

    /** Requests come a second after all nodes were killed; the rights of dead processes must not be waited for. */
    @Test
    void afterAllNodesWereKilledTheirSlotsAreAssignedAtOnce() throws Exception {
        startThree(LONG, LARGE);
        leader.set(null);
        List.copyOf(nodes).forEach(this::kill);
        start("a", 2, LONG, LARGE);
        start("b", 2, LONG, LARGE);
        start("c", 2, LONG, LARGE);
        listAll();
        elect(nodes.getLast(), 9);
        await("slots are held", () -> allHeld() == CapShare.SLOTS);
        for (CappedNode node : nodes) {
            await("admitted", () -> node.admits(100));
        }
        assertEquals(2, store.writes());
    }

    /** A holder goes on without a leader, but not for longer than the next leader waits. */
    @Test
    void holdersGoOnWithoutALeaderForTheTimeOfTheirRight() throws Exception {
        startThree(SHORT, LARGE);
        CappedNode other = nodes.get(1);
        await("admitted", () -> other.admits(100));
        CappedNode deposed = nodes.getFirst();
        deposed.lead(OptionalLong.empty());
        assertTrue(other.heldSlots() > 0);
        await("rights end", () -> allHeld() == 0);
        await("unknown", () -> refusal(other, 400_000 / 8).reason().equals("cap-unknown"));
        assertEquals(503, refusal(other, 400_000 / 8).status());
        elect(nodes.getLast(), 9);
        await("slots are held", () -> allHeld() == CapShare.SLOTS);
        await("admitted", () -> other.admits(100));
    }

    /** A leader that was replaced without knowing must not change the table. */
    @Test
    void aReplacedLeaderCannotWriteTheTable() throws Exception {
        startThree(SHORT, LARGE);
        CappedNode old = nodes.getFirst();
        elect(nodes.getLast(), 9);
        await("the new leader has written", () -> store.writes() == 2);
        kill(nodes.get(1));
        await("slots are taken over", () -> allHeld() == CapShare.SLOTS);
        // The replaced leader hears of nobody any more, so that to it all holders are silent.
        old.lead(OptionalLong.of(5));
        TimeUnit.MILLISECONDS.sleep(500);
        assertEquals(
                9,
                CapMessages.decode(store.get(NodeKeys.CAP_SLOTS).orElseThrow().value())
                        .term());
    }

    /** A stopping node goes on serving for seconds, and its slots must not be unused meanwhile. */
    @Test
    void aStoppingNodeReleasesItsSlotsAndIsServedByOthers() throws Exception {
        startThree(LONG, LARGE);
        CappedNode stopping = nodes.get(1);
        stopping.release();
        assertEquals(0, stopping.heldSlots());
        await("others hold all slots", () -> allHeld() == CapShare.SLOTS);
        assertEquals(0, stopping.heldSlots());
        await("admitted", () -> stopping.admits(100));
    }

    /** A request that another limit refuses must not cost its workspace anything. */
    @Test
    void tokensOfARequestThatDidNotRunAreGivenBack() throws Exception {
        startThree(LONG, SMALL);
        CappedNode client =
                nodes.stream().filter(node -> node.heldSlots() < 3).findFirst().orElseThrow();
        AtomicReference<AdmittedTokens> admitted = new AtomicReference<>();
        await("the bucket is full", () -> {
            try {
                admitted.set(client.admit(4_000));
                return true;
            } catch (RefusedException e) {
                return false;
            }
        });
        // The slots hold the slack beyond the burst; what is left is less than flows in within the wait for tokens.
        for (int i = 0; client.admits(500); i++) {
            assertTrue(i < 100, "the slots hold no more than burst and slack");
        }
        Refusal refusal = refusal(client, 4_000);
        assertEquals(429, refusal.status());
        assertEquals("over-cap", refusal.reason());
        long retryMs = refusal.retryAfterMs().getAsLong();
        // Half of the rate flows into each of the two slots, which may have one holder or two.
        assertTrue(retryMs >= 1_400 && retryMs <= 4_001, retryMs + " ms");
        admitted.get().giveBack();
        assertTrue(client.admits(3_999));
    }

    /** Each call to a holder delays a request, so that most requests need none. */
    @Test
    void frequentRequestsOfOneNodeMostlyNeedNoCall() throws Exception {
        startThree(LONG, LARGE);
        CappedNode client =
                nodes.stream().filter(node -> node.heldSlots() < 3).findFirst().orElseThrow();
        TimeUnit.MILLISECONDS.sleep(1_200);
        for (int i = 0; i < 200; i++) {
            assertTrue(client.admits(50));
        }
        assertTrue(client.count("caps.calls") < 100, client.count("caps.calls") + " calls for 200 requests");
    }
}
