package io.persimmonstack.coordination.cap;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/** Node of a simulated fleet: holder, client and, while elected, leader. Times are in milliseconds of true time. */
final class SimulatedNode {
    private static final long LEAD_MS = 2_100;
    private static final long CALL_TIMEOUT_MS = 500;
    final int index;
    private final SimulatedFleet fleet;
    private final Random random;
    private long startedMs;
    private long frozenTotalMs;
    private long wallOffsetMs;
    private HeldSlots held;
    private TokenTaker taker;
    private SlotTable table = SlotTable.NONE;
    private long deadUntilMs = -1;
    private long frozenUntilMs = -1;
    /** Questions to other nodes. */
    long calls;

    long storeCutUntilMs = -1;
    long reportsCutUntilMs = -1;
    private long configurationDueMs = -1;
    private CapShare share;
    private CapShare nextShare;
    private int knownLeader = -1;
    private long nextReportMs;
    private Optional<Answer> answer = Optional.empty();
    private OptionalLong term = OptionalLong.empty();
    private ClockReading leaseFrom;
    private SlotAssigner assigner;
    private long readRevision;

    /** Answer of a leader on its way. */
    private record Answer(SlotTable table, OptionalLong validMs, ClockReading sent, long arrivesMs) {}

    SimulatedNode(int index, SimulatedFleet fleet, Random random, CapShare share) {
        this.index = index;
        this.fleet = fleet;
        this.random = random;
        this.share = share;
        startProcess(0);
    }

    private void startProcess(long nowMs) {
        startedMs = nowMs + 1;
        held = new HeldSlots("n" + index, startedMs);
        taker = new TokenTaker(
                SimulatedFleet.BOUNDS,
                this::ask,
                holder -> holder.isProcess("n" + index, startedMs),
                this::clock,
                random);
        table = SlotTable.NONE;
        term = OptionalLong.empty();
        assigner = null;
        answer = Optional.empty();
        knownLeader = -1;
        nextReportMs = nowMs + random.nextInt(250);
        if (nextShare != null) {
            share = nextShare;
            nextShare = null;
        }
    }

    ClockReading clock() {
        return new ClockReading((fleet.nowMs - frozenTotalMs) * 1_000_000, fleet.nowMs + wallOffsetMs);
    }

    boolean runs() {
        return fleet.nowMs >= deadUntilMs && fleet.nowMs >= frozenUntilMs;
    }

    boolean reaches(SimulatedNode other) {
        return other == this
                || other.runs()
                        && fleet.linked(this, other)
                        && fleet.nowMs >= reportsCutUntilMs
                        && fleet.nowMs >= other.reportsCutUntilMs;
    }

    /** Returns whether the links to the leader or to the store are cut. */
    boolean isCutOff() {
        return !reachesStore()
                || fleet.nowMs < reportsCutUntilMs
                || knownLeader >= 0 && !fleet.linked(this, fleet.node("n" + knownLeader));
    }

    private boolean reachesStore() {
        return fleet.store.available() && fleet.nowMs >= storeCutUntilMs;
    }

    CapShare share() {
        return share;
    }

    void kill(long downMs) {
        deadUntilMs = fleet.nowMs + downMs;
        startProcess(deadUntilMs);
    }

    void freeze(long ms) {
        if (runs()) {
            frozenUntilMs = fleet.nowMs + ms;
            frozenTotalMs += ms;
        }
    }

    void setWallClock(long offsetMs) {
        wallOffsetMs = offsetMs;
    }

    /** Ends the process in order: it gives its slots up and goes on serving requests for a while. */
    void leave() {
        held.releaseAll();
    }

    boolean isLeaving() {
        return held.isLeaving();
    }

    void learnShare(CapShare newShare, long atMs) {
        nextShare = newShare;
        configurationDueMs = atMs;
    }

    boolean knowsTable() {
        return !table.equals(SlotTable.NONE);
    }

    TokenTaker.Decision request(String workspace, long need) {
        return taker.take(workspace, share, need);
    }

    void giveBack(String workspace, List<TokenBatch> batches) {
        taker.giveBack(workspace, batches);
    }

    private HeldSlots.Answer ask(SlotHolder holder, TokenTaker.Question question) {
        SimulatedNode other = fleet.node(holder.node());
        calls += other == this ? 0 : 1;
        if (!reaches(other) || other.startedMs != holder.startedMs()) {
            return new HeldSlots.Answer.NotHeld();
        }
        ClockReading now = other.clock();
        question.returns()
                .forEach(batch ->
                        other.held.giveBack(question.workspace(), batch.slot(), batch.stamp(), batch.tokens(), now));
        HeldSlots.Answer given =
                other.held.take(question.workspace(), other.share, question.need(), question.ahead(), now);
        return fleet.losesAnswer() ? new HeldSlots.Answer.NotHeld() : given;
    }

    /** Does what is due: learns from the store, leads, and exchanges reports. */
    void step() {
        if (!runs()) {
            return;
        }
        if (reachesStore()) {
            followStore();
        }
        if (fleet.nowMs % 100 == 0 && leads() && assigner != null) {
            assigner.proposal(fleet.size(), clock().monotonicNanos()).ifPresent(this::write);
        }
        answer.filter(given -> fleet.nowMs >= given.arrivesMs).ifPresent(this::apply);
        if (fleet.nowMs >= nextReportMs) {
            nextReportMs = fleet.nowMs + 250;
            report();
        }
    }

    private void followStore() {
        knownLeader = fleet.store.leader(fleet.nowMs);
        if (nextShare != null && fleet.nowMs >= configurationDueMs) {
            share = nextShare;
            nextShare = null;
        }
        if (term.isPresent()) {
            ClockReading sent = clock();
            if (fleet.store.renew(index, term.getAsLong(), fleet.nowMs)) {
                leaseFrom = sent;
            } else {
                term = OptionalLong.empty();
                assigner = null;
            }
        } else if (knownLeader < 0 && random.nextInt(4) == 0 && !held.isLeaving()) {
            ClockReading sent = clock();
            term = fleet.store.elect(index, fleet.nowMs);
            if (term.isPresent()) {
                leaseFrom = sent;
                readTable();
            }
        }
    }

    private void readTable() {
        readRevision = fleet.store.tableRevision();
        SlotTable stored = fleet.store.table();
        boolean doubtful = SimulatedStore.doubtful(term.getAsLong(), stored);
        assigner =
                new SlotAssigner(term.getAsLong(), stored, doubtful, clock().monotonicNanos(), SimulatedFleet.BOUNDS);
    }

    private boolean leads() {
        return term.isPresent() && clock().msSince(leaseFrom) < LEAD_MS;
    }

    private void write(SlotTable proposal) {
        if (!reachesStore()) {
            return;
        }
        if (!fleet.store.write(proposal, readRevision)) {
            readTable();
        } else if (fleet.losesAnswer()) {
            // The write took effect, which the leader finds out by reading the key.
            readTable();
        } else {
            readRevision = fleet.store.tableRevision();
            assigner.written(proposal, clock().monotonicNanos());
        }
    }

    private void report() {
        if (knownLeader < 0) {
            return;
        }
        SimulatedNode leader = fleet.node("n" + knownLeader);
        boolean cut = leader != this && fleet.nowMs < reportsCutUntilMs;
        if (cut || !reaches(leader) || !leader.leads() || leader.assigner == null) {
            return;
        }
        ClockReading sent = clock();
        held.releaseSurplus((CapShare.SLOTS + fleet.size() - 1) / fleet.size(), 3_000, sent);
        SlotAssigner.Report report =
                new SlotAssigner.Report("n" + index, startedMs, held.held(sent), held.released(), held.isLeaving());
        long leaderNanos = leader.clock().monotonicNanos();
        leader.assigner.report(report, leaderNanos);
        boolean extended = leader.assigner.extend("n" + index, startedMs, leaderNanos);
        OptionalLong validMs = extended ? OptionalLong.of(SimulatedFleet.BOUNDS.rightMs()) : OptionalLong.empty();
        Optional<SlotTable> written = leader.assigner.table();
        if (written.isPresent() && !fleet.losesAnswer()) {
            answer = Optional.of(new Answer(written.get(), validMs, sent, fleet.nowMs + random.nextInt(100)));
        }
    }

    private void apply(Answer given) {
        answer = Optional.empty();
        ClockReading now = clock();
        if ((now.monotonicNanos() - given.sent.monotonicNanos()) / 1_000_000 < CALL_TIMEOUT_MS) {
            held.update(given.table, given.sent, given.validMs, now);
            table = given.table;
            taker.updateTable(table);
        }
    }
}
