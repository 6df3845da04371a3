package io.persimmonstack.coordination.cap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The rules that keep usage within its bound, each with the failure that breaks it. */
class CapRulesTest {
    private static final CapBounds BOUNDS = new CapBounds(8_000, 0.1, 7_500);
    private static final long SECOND = 1_000_000_000L;
    private static final CapShare SHARE = new CapShare(List.of(0), 1_000, 1_000);
    private static final SlotHolder HOLDER = new SlotHolder("a", 1, 5, 1);
    private static final SlotHolder OTHER = new SlotHolder("b", 1, 5, 1);

    /** Tokens that are taken and given back in turn must not gather more than the capacity. */
    @Test
    void tokensGivenBackLateAreNotAddedToInflowThatAFullBucketWouldHaveLost() {
        TokenBucket bucket = new TokenBucket(SHARE, 0, 1);
        assertTrue(bucket.tryTake(1_000, 1, SECOND));
        assertTrue(bucket.tryTake(1_000, 2, 2 * SECOND));
        bucket.giveBack(1_000, 1, 2 * SECOND);
        assertEquals(0, bucket.level(2 * SECOND));
        bucket.giveBack(1_000, 2, 2 * SECOND);
        assertEquals(1_000, bucket.level(2 * SECOND));
    }

    /** A request that is refused elsewhere must not cost its workspace anything. */
    @Test
    void tokensGivenBackAtOnceAreThereAgain() {
        TokenBucket bucket = new TokenBucket(SHARE, 0, 1);
        assertTrue(bucket.tryTake(400, 1, SECOND));
        assertTrue(bucket.tryTake(600, 2, SECOND));
        bucket.giveBack(400, 1, SECOND);
        bucket.giveBack(600, 2, SECOND);
        assertEquals(1_000, bucket.level(SECOND));
    }

    /** The holder before may have emptied a full bucket a moment ago; a second one in its window breaks the bound. */
    @Test
    void aNewBucketHasNothingButItsInflowAndNeverADebt() {
        TokenBucket bucket = new TokenBucket(SHARE, 0, 1);
        assertFalse(bucket.tryTake(1, 1, 0));
        assertFalse(bucket.tryTake(501, 2, SECOND / 2));
        assertTrue(bucket.tryTake(500, 3, SECOND / 2));
        assertEquals(SECOND / 10, bucket.waitNanos(100, SECOND / 2));
        assertFalse(bucket.tryTake(1_001, 4, 9 * SECOND));
        assertEquals(1_000, bucket.level(9 * SECOND));
    }

    /** What buckets hold, grants that outlive a window and waits must not add up to more than the bound. */
    @Test
    void whatTheSlotsGrantInAWindowIsWithinTheBound() {
        for (double rate = 1_000; rate < 1_000_000; rate *= 1.5) {
            for (double burst = rate / 4; burst < rate * 8; burst *= 2) {
                CapShare share = CapShare.ofTokens("w", rate, burst, BOUNDS);
                double seconds = (BOUNDS.windowMs() + BOUNDS.grantMs() + BOUNDS.maxWaitMs()) / 1_000.0;
                double most = share.slots().size() * (share.capacity() + share.ratePerSecond() * seconds);
                double bound =
                        (rate * BOUNDS.windowMs() / 1_000 + burst) * (1 + BOUNDS.overshoot()) + BOUNDS.slackTokens();
                assertTrue(most <= bound, "rate " + rate + ", burst " + burst);
                assertTrue(share.canServe(4_000), "a usual request can be served");
                assertTrue(share.slots().size() >= 2, "the loss of a holder leaves another");
            }
        }
    }

    /** Tokens that are there, though in two slots, are no reason to refuse a request. */
    @Test
    void aRequestTakesWhatNoHolderHasAloneFromTwo() {
        CapShare share = new CapShare(List.of(0, 1), 1_000, 2_000);
        Map<String, HeldSlots> held = new HashMap<>();
        ClockReading start = new ClockReading(0, 0);
        SlotTable table = new SlotTable(5, 1, Map.of(0, HOLDER, 1, OTHER));
        for (String node : List.of("a", "b")) {
            held.put(node, new HeldSlots(node, 1));
            held.get(node).update(table, start, OptionalLong.of(8_000), start);
        }
        ClockReading[] now = {new ClockReading(SECOND, 1_000)};
        TokenTaker taker = new TokenTaker(
                BOUNDS,
                (holder, question) -> held.get(holder.node()).take("w", share, question.need(), 0, now[0]),
                holder -> false,
                () -> now[0],
                new Random(1));
        taker.updateTable(table);
        TokenTaker.Decision.OverCap over =
                assertInstanceOf(TokenTaker.Decision.OverCap.class, taker.take("w", share, 2_600));
        assertEquals(300, over.retryMs(), 4);
        now[0] = new ClockReading(SECOND + over.retryMs() * 1_000_000, 1_000 + over.retryMs());
        TokenTaker.Decision.Admitted admitted =
                assertInstanceOf(TokenTaker.Decision.Admitted.class, taker.take("w", share, 2_600));
        assertEquals(
                2_600, admitted.batches().stream().mapToLong(TokenBatch::tokens).sum());
        assertEquals(2, admitted.batches().size());
    }

    /** The monotonic clock of a frozen machine stops, and by it alone the right would outlive the slot. */
    @Test
    void aFreezeEndsTheRightOfAHolder() {
        HeldSlots held = new HeldSlots("a", 1);
        ClockReading sent = new ClockReading(SECOND, 1_000);
        held.update(new SlotTable(5, 1, Map.of(0, HOLDER)), sent, OptionalLong.of(8_000), sent);
        assertTrue(held.mayGrant(new ClockReading(2 * SECOND, 8_999)));
        assertFalse(held.mayGrant(new ClockReading(2 * SECOND, 9_000)));
        assertFalse(held.mayGrant(new ClockReading(9 * SECOND, 2_000)));
        assertInstanceOf(
                HeldSlots.Answer.NotHeld.class, held.take("w", SHARE, 1, 0, new ClockReading(2 * SECOND, 9_000)));
    }

    /** A process that lost a slot and got it again has not seen what others granted meanwhile. */
    @Test
    void aSlotThatComesBackStartsEmpty() {
        HeldSlots held = new HeldSlots("a", 1);
        ClockReading first = new ClockReading(0, 0);
        held.update(new SlotTable(5, 1, Map.of(0, HOLDER)), first, OptionalLong.of(8_000), first);
        ClockReading later = new ClockReading(5 * SECOND, 5_000);
        SlotHolder again = new SlotHolder("a", 1, 6, 1);
        held.update(new SlotTable(6, 1, Map.of(0, again)), later, OptionalLong.of(8_000), later);
        assertInstanceOf(HeldSlots.Answer.Exhausted.class, held.take("w", SHARE, 100, 0, later));
    }

    /**
     * Failure: the caller of a holder that lacked tokens for a few milliseconds was not scheduled for longer than that
     * after the answer, and the request ended with 503 as if no holder had answered.
     */
    @Test
    void aHolderWhoseWaitEndsBeforeItsAnswerIsReadHasAnswered() {
        AtomicLong nowMs = new AtomicLong();
        TokenTaker taker = new TokenTaker(
                BOUNDS,
                (holder, question) -> new HeldSlots.Answer.Exhausted(7),
                holder -> true,
                () -> new ClockReading(TimeUnit.MILLISECONDS.toNanos(nowMs.addAndGet(10)), nowMs.get()),
                new Random(1));
        taker.updateTable(tableOf(HOLDER, 5));
        assertEquals(new TokenTaker.Decision.OverCap(7), taker.take("w", SHARE, 100));
    }

    private static SlotAssigner.Report report(String node, long startedMs, Map<Integer, SlotHolder> held) {
        return new SlotAssigner.Report(node, startedMs, held, Map.of(), false);
    }

    private static SlotTable tableOf(SlotHolder holder, long term) {
        Map<Integer, SlotHolder> all = new HashMap<>();
        for (int slot = 0; slot < CapShare.SLOTS; slot++) {
            all.put(slot, holder);
        }
        return new SlotTable(term, 1, all);
    }

    private static void write(SlotAssigner assigner, long nowNanos) {
        assigner.written(assigner.proposal(CapShare.SLOTS, nowNanos).orElseThrow(), nowNanos);
    }

    /** After all processes were killed requests come within a second, so their slots must not wait for 8 s. */
    @Test
    void slotsOfRestartedProcessesAreAssignedAtOnce() {
        SlotAssigner assigner = new SlotAssigner(9, tableOf(HOLDER, 5), false, 0, BOUNDS);
        assigner.report(report("a", 2, Map.of()), SECOND / 4);
        assertTrue(assigner.proposal(CapShare.SLOTS, SECOND / 4).isEmpty());
        assigner.report(report("b", 2, Map.of()), SECOND / 2);
        SlotTable table = assigner.proposal(CapShare.SLOTS, SECOND).orElseThrow();
        assertEquals(CapShare.SLOTS, table.holders().size());
        assertEquals(
                4,
                table.holders().values().stream()
                        .filter(holder -> holder.node().equals("a"))
                        .count());
        assertFalse(assigner.extend("a", 2, SECOND));
        assigner.written(table, SECOND);
        assertTrue(assigner.extend("a", 2, SECOND));
    }

    /** A new leader does not know until when the one before it let a holder go on. */
    @Test
    void aSilentHolderKeepsItsSlotsForTheWholeTimeSinceTheElection() {
        SlotAssigner assigner = new SlotAssigner(9, tableOf(HOLDER, 5), false, 0, BOUNDS);
        assigner.report(report("b", 1, Map.of()), SECOND);
        write(assigner, SECOND);
        assigner.report(report("b", 1, Map.of()), 8 * SECOND);
        assertTrue(assigner.proposal(CapShare.SLOTS, 8 * SECOND).isEmpty());
        assigner.report(report("b", 1, Map.of()), 9 * SECOND);
        SlotTable table = assigner.proposal(CapShare.SLOTS, 9 * SECOND).orElseThrow();
        assertEquals("b", table.holders().get(0).node());
    }

    /** Between its decision and the acknowledgement of the store, the leader must not let the old holder go on. */
    @Test
    void aHolderThatMayHaveLostASlotIsNotLetGoOn() {
        SlotAssigner assigner = new SlotAssigner(9, tableOf(HOLDER, 5), false, 0, BOUNDS);
        write(assigner, SECOND);
        assigner.report(report("b", 1, Map.of()), 9 * SECOND);
        assertTrue(assigner.proposal(CapShare.SLOTS, 9 * SECOND).isPresent());
        assigner.report(report("a", 1, Map.of()), 9 * SECOND);
        assertFalse(assigner.extend("a", 1, 9 * SECOND));
    }

    /** A store that came back from a copy may list a holder of long ago, while another process holds the slot. */
    @Test
    void inADoubtfulTableOnlyReportsTellWhoHoldsASlot() {
        SlotHolder other = new SlotHolder("b", 1, 6, 4);
        SlotAssigner assigner = new SlotAssigner(9, tableOf(HOLDER, 5), true, 0, BOUNDS);
        assigner.report(report("a", 2, Map.of()), SECOND);
        assigner.report(report("b", 1, Map.of(3, other)), SECOND);
        assertEquals(
                Map.of(3, other),
                assigner.proposal(CapShare.SLOTS, SECOND).orElseThrow().holders());
        write(assigner, SECOND);
        assigner.report(report("a", 2, Map.of()), 9 * SECOND);
        assigner.report(report("b", 1, Map.of(3, other)), 9 * SECOND);
        assertTrue(assigner.extend("b", 1, 9 * SECOND));
        assertEquals(
                CapShare.SLOTS,
                assigner.proposal(CapShare.SLOTS, 9 * SECOND)
                        .orElseThrow()
                        .holders()
                        .size());
    }

    /** A process that stops must not leave its slots unused for 8 s. */
    @Test
    void releasedSlotsAreGivenToOthersAtOnce() {
        SlotAssigner assigner = new SlotAssigner(9, tableOf(HOLDER, 5), false, 0, BOUNDS);
        write(assigner, SECOND);
        assigner.report(report("b", 1, Map.of()), SECOND);
        assigner.report(new SlotAssigner.Report("a", 1, Map.of(), Map.of(0, HOLDER, 1, HOLDER), true), SECOND);
        SlotTable table = assigner.proposal(CapShare.SLOTS, SECOND).orElseThrow();
        assertEquals("b", table.holders().get(0).node());
        assertEquals("b", table.holders().get(1).node());
        assertEquals("a", table.holders().get(2).node());
    }
}
