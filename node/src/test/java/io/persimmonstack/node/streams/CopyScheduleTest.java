package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.Peer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class CopyScheduleTest {
    private static final StreamOrigin ORIGIN = new StreamOrigin("chat", "v1");
    private static final String SELF = "n0";
    private static final long VALID_MS = 30_000;

    private Map<String, Peer> peers = Peers.numbered(10);
    private final CopySchedule schedule = CopySchedule.of(SELF);

    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static DeliveredStream stream(String request) {
        return DeliveredStream.of(request, ORIGIN, VALID_MS);
    }

    private void update(Map<String, Peer> listed, long ms) {
        peers = listed;
        schedule.updatePeers(listed, atMs(ms));
    }

    private List<Peer> holders(String request) {
        return OriginHolders.ranked(request, peers, SELF, OriginHolders.COPIES);
    }

    /** Returns the nodes that something is sent to, whose calls remain in progress. */
    private static Set<Peer> targets(List<CopySchedule.Batch> batches) {
        return batches.stream().map(CopySchedule.Batch::holder).collect(Collectors.toSet());
    }

    /** Confirms all that is due, and returns the nodes that it was sent to. */
    private Set<Peer> confirmDue(long ms) {
        List<CopySchedule.Batch> batches = schedule.takeBatches(atMs(ms));
        batches.forEach(batch -> schedule.finished(batch, true, atMs(ms)));
        return targets(batches);
    }

    private DeliveredStream addCopied(String request) {
        update(peers, 0);
        DeliveredStream stream = stream(request);
        schedule.add(stream, atMs(0));
        assertEquals(new HashSet<>(holders(request)), confirmDue(0));
        return stream;
    }

    @Test
    void newStreamIsCopiedToItsHoldersOnce() {
        addCopied("r");
        assertEquals(List.of(), schedule.takeBatches(atMs(1)));
    }

    @Test
    void copyBearsRequestOriginAndTheRestOfTheValidity() {
        schedule.add(stream("r"), atMs(0));
        update(peers, 10);
        List<OriginCopy> copies = schedule.takeBatches(atMs(400)).getFirst().copies();
        assertEquals(List.of(new OriginCopy("r", ORIGIN, VALID_MS - 400)), copies);
    }

    @Test
    void copiesToANodeWithACallInProgressGoTogetherWithTheNextCall() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        schedule.add(stream("r1"), atMs(0));
        CopySchedule.Batch first = schedule.takeBatches(atMs(0)).getFirst();
        schedule.add(stream("r2"), atMs(1));
        schedule.add(stream("r3"), atMs(1));
        assertEquals(List.of(), schedule.takeBatches(atMs(1)));
        schedule.finished(first, true, atMs(2));
        List<OriginCopy> next = schedule.takeBatches(atMs(2)).getFirst().copies();
        assertEquals(List.of("r2", "r3"), next.stream().map(OriginCopy::request).toList());
    }

    @Test
    void nodeThatDoesNotAnswerDelaysNoOther() {
        update(Peers.byName(Peers.peer("a", 1), Peers.peer("b", 1)), 0);
        schedule.add(stream("r1"), atMs(0));
        schedule.takeBatches(atMs(0)).stream()
                .filter(batch -> batch.holder().node().equals("b"))
                .forEach(batch -> schedule.finished(batch, true, atMs(0)));
        schedule.add(stream("r2"), atMs(1));
        assertEquals(Set.of(peers.get("b")), targets(schedule.takeBatches(atMs(1))));
    }

    @Test
    void failedCallIsRepeatedAfterAPauseUntilItSucceeds() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        schedule.add(stream("r1"), atMs(0));
        schedule.finished(schedule.takeBatches(atMs(0)).getFirst(), false, atMs(0));
        schedule.add(stream("r2"), atMs(1));
        assertEquals(List.of(), schedule.takeBatches(CopySchedule.RETRY_PAUSE_NANOS - 1));
        CopySchedule.Batch again =
                schedule.takeBatches(CopySchedule.RETRY_PAUSE_NANOS).getFirst();
        assertEquals(
                List.of("r1", "r2"),
                again.copies().stream().map(OriginCopy::request).toList());
        schedule.finished(again, true, CopySchedule.RETRY_PAUSE_NANOS);
        assertEquals(Set.of(), confirmDue(1_000));
    }

    @Test
    void copyOfAStreamThatHasEndedIsRepeatedToo() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        DeliveredStream stream = stream("r");
        schedule.add(stream, atMs(0));
        schedule.finished(schedule.takeBatches(atMs(0)).getFirst(), false, atMs(0));
        stream.close();
        schedule.renew(atMs(1));
        assertEquals(1, schedule.size());
        assertEquals(Set.of(peers.get("a")), confirmDue(1_000));
        schedule.renew(atMs(1_000));
        assertEquals(0, schedule.size());
    }

    @Test
    void copyGoesToTheNextNodeWhenAHolderLeaves() {
        addCopied("r");
        List<Peer> before = holders("r");
        update(Peers.without(peers, before.getFirst()), 1_000);
        Set<Peer> added = new HashSet<>(holders("r"));
        added.removeAll(before);
        assertEquals(1, added.size());
        assertEquals(added, confirmDue(1_000));
    }

    @Test
    void copyGoesToAHolderThatWasRestarted() {
        addCopied("r");
        Peer restarted = Peers.peer(holders("r").getFirst().node(), 2);
        update(Peers.with(peers, restarted), 1_000);
        assertEquals(Set.of(restarted), confirmDue(1_000));
    }

    @Test
    void copyGoesToANodeThatJoinsAndRanksFirst() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        addCopied("r");
        Peer joined = Peers.peer("b", 1);
        update(Peers.with(peers, joined), 1_000);
        assertEquals(Set.of(joined), confirmDue(1_000));
    }

    @Test
    void streamAddedBeforeAnyNodeIsListedIsCopiedLater() {
        schedule.add(stream("r"), atMs(0));
        assertEquals(Set.of(), confirmDue(0));
        update(peers, 1_000);
        assertEquals(new HashSet<>(holders("r")), confirmDue(1_000));
    }

    @Test
    void unchangedListSendsNothing() {
        addCopied("r");
        update(Map.copyOf(peers), 1_000);
        assertEquals(Set.of(), confirmDue(1_000));
    }

    @Test
    void streamThatHasEndedAndIsCopiedIsNotCopiedAgain() {
        DeliveredStream stream = addCopied("r");
        stream.close();
        update(Peers.without(peers, holders("r").getFirst()), 1_000);
        assertEquals(Set.of(), confirmDue(1_000));
        assertEquals(0, schedule.size());
    }

    @Test
    void copyThatAwaitsANodeThatLeavesGoesToAnother() {
        update(peers, 0);
        DeliveredStream stream = stream("r");
        schedule.add(stream, atMs(0));
        List<CopySchedule.Batch> batches = schedule.takeBatches(atMs(0));
        stream.close();
        CopySchedule.Batch lost = batches.getFirst();
        schedule.finished(batches.getLast(), true, atMs(1));
        Set<Peer> before = new HashSet<>(holders("r"));
        update(Peers.without(peers, lost.holder()), 2);
        schedule.finished(lost, false, atMs(200));
        schedule.renew(atMs(200));
        Set<Peer> added = new HashSet<>(holders("r"));
        added.removeAll(before);
        assertEquals(added, confirmDue(1_000));
    }

    @Test
    void rollingRestartOfAllNodesLeavesACopyAtEachTime() {
        addCopied("r");
        Set<Peer> copies = new HashSet<>(holders("r"));
        long ms = 0;
        for (Peer peer : List.copyOf(peers.values())) {
            if (!peer.node().equals(SELF)) {
                copies.remove(peer);
                assertTrue(copies.stream().anyMatch(peers::containsValue), "while " + peer.node() + " restarts");
                update(Peers.without(peers, peer), ++ms);
                copies.addAll(confirmDue(ms));
                update(Peers.with(peers, Peers.peer(peer.node(), 2)), ++ms);
                copies.addAll(confirmDue(ms));
                assertTrue(copies.containsAll(holders("r")), "after the restart of " + peer.node());
            }
        }
    }

    @Test
    void copiesAreRenewedWhileTheStreamIsDelivered() {
        DeliveredStream stream = addCopied("r");
        assertEquals(List.of(), schedule.renew(atMs(VALID_MS / 3 - 1)));
        assertEquals(List.of(stream), schedule.renew(atMs(VALID_MS / 3)));
        List<CopySchedule.Batch> batches = schedule.takeBatches(atMs(VALID_MS / 3));
        assertEquals(new HashSet<>(holders("r")), targets(batches));
        assertEquals(VALID_MS, batches.getFirst().copies().getFirst().validMs());
        stream.close();
        assertEquals(List.of(), schedule.renew(atMs(VALID_MS * 2)));
    }

    @Test
    void copyThatIsNoLongerValidIsDroppedAndCounted() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        DeliveredStream stream = stream("r");
        schedule.add(stream, atMs(0));
        stream.close();
        assertEquals(List.of(), schedule.takeBatches(atMs(VALID_MS)));
        assertEquals(1, schedule.takeDropped());
        assertEquals(0, schedule.takeDropped());
    }

    @Test
    void copiesThatWaitForANodeAreBounded() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        schedule.add(stream("first"), atMs(0));
        schedule.takeBatches(atMs(0));
        for (int i = 0; i < CopySchedule.MAX_WAITING + 7; i++) {
            schedule.add(stream("r" + i), atMs(0));
        }
        assertEquals(7, schedule.takeDropped());
    }

    @Test
    void batchesAreBounded() {
        update(Peers.byName(Peers.peer("a", 1)), 0);
        for (int i = 0; i < CopySchedule.MAX_BATCH + 1; i++) {
            schedule.add(stream("r" + i), atMs(0));
        }
        assertEquals(
                CopySchedule.MAX_BATCH,
                schedule.takeBatches(atMs(0)).getFirst().copies().size());
    }

    @Test
    void trackedStreamsAreBounded() {
        for (int i = 0; i < CopySchedule.MAX_STREAMS + 3; i++) {
            schedule.add(stream("r" + i), atMs(0));
        }
        assertEquals(CopySchedule.MAX_STREAMS, schedule.size());
        assertEquals(3 * OriginHolders.COPIES, schedule.takeDropped());
    }
}
