package io.persimmonstack.coordination.cap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Day of one workspace in a fleet of 81 nodes in 4 zones, with its requests compared with those that an exact bucket
 * would admit.
 */
final class SimulatedDay {
    static final int NODES = 81;
    private static final int ZONES = 4;
    /** Time after which nodes have heard of their holders and buckets have filled. */
    private static final long STARTED_MS = 10_000;

    private static final long DAY_MS = 130_000;
    /** Time for which a request waits for the first table at a node that has just started. */
    private static final long START_WAIT_MS = 1_500;

    private static final double CAP_FACTOR = 1.8;
    private static final double MEAN_TOKENS = 1_000;
    private static final int MIN_TOKENS = 100;
    private static final int MAX_TOKENS = 4_000;

    private final Random random;
    private final SimulatedFleet fleet;
    private final double rate;
    private final ExactBucket owed;
    private final ExactBucket charged;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    final Counts counts = new Counts();

    /** What became of the requests of a day. */
    static final class Counts {
        long requests;
        long refused;
        long unknown;
        /** Refused, while an exact bucket that got the same requests had room. */
        long belowCap;
        /** Refused, while an exact bucket that counted only what was admitted had room. */
        long belowCharged;
        /** Those of them that arrived at a node that was cut off from the leader. */
        long belowCutOff;

        long admittedTokens;
        long owedTokens;
        long calls;
        long waited;
        /** Largest usage of a window as a share of its bound. */
        double worstWindow;

        void add(Counts other) {
            requests += other.requests;
            refused += other.refused;
            unknown += other.unknown;
            belowCap += other.belowCap;
            belowCharged += other.belowCharged;
            belowCutOff += other.belowCutOff;
            admittedTokens += other.admittedTokens;
            owedTokens += other.owedTokens;
            calls += other.calls;
            waited += other.waited;
            worstWindow = Math.max(worstWindow, other.worstWindow);
        }

        double belowShare() {
            return belowCap / (double) requests;
        }

        /** Returns the share that was refused below the cap at nodes with links to the leader and to the store. */
        double belowConnectedShare() {
            return (belowCap - belowCutOff) / (double) requests;
        }

        /** Returns the admitted tokens as a share of those that the exact bucket admits. */
        double usedShare() {
            return admittedTokens / (double) owedTokens;
        }

        @Override
        public String toString() {
            return ("requests=%d refused=%.4f unknown=%.4f below=%.4f cutOff=%.4f used=%.4f "
                            + "belowCharged=%.4f calls=%.2f waited=%.4f worst=%.3f")
                    .formatted(
                            requests,
                            refused / (double) requests,
                            unknown / (double) requests,
                            belowShare(),
                            belowCutOff / (double) requests,
                            usedShare(),
                            belowCharged / (double) requests,
                            calls / (double) requests,
                            waited / (double) requests,
                            worstWindow);
        }
    }

    /** Request that waits for tokens. */
    private record Waiting(SimulatedNode node, long need, boolean hadRoom, long dueMs, boolean forTable) {}

    private SimulatedDay(int seed, double rate) {
        this.random = new Random(seed);
        this.rate = rate;
        this.owed = new ExactBucket(rate, rate);
        this.charged = new ExactBucket(rate, rate);
        SimulatedFleet.Demand none =
                new SimulatedFleet.Demand(0, SimulatedFleet.Place.ALL_NODES, 1_000, 0, MIN_TOKENS, MAX_TOKENS, 0);
        this.fleet = new SimulatedFleet(random, NODES, rate, rate, none, 0);
    }

    /**
     * Plays a day.
     *
     * @param seed source of demand and faults
     * @param rate rate of the cap, in tokens per second; the burst is one second of it
     * @param usualFactor demand as a multiple of the usual one
     * @param faultsMs mean time between two faults, in milliseconds; 0 for none
     * @param maxWaitMs longest time for which a request waits for tokens
     */
    static Counts play(int seed, double rate, double usualFactor, int faultsMs, long maxWaitMs) {
        SimulatedDay day = new SimulatedDay(seed, rate);
        double perStep = rate / CAP_FACTOR * usualFactor / MEAN_TOKENS * SimulatedFleet.STEP_MS / 1_000;
        while (day.fleet.nowMs < DAY_MS) {
            if (faultsMs > 0 && day.fleet.nowMs > STARTED_MS && day.random.nextInt(faultsMs) < SimulatedFleet.STEP_MS) {
                day.breakSomething();
            }
            day.fleet.advance();
            day.resumeWaiting();
            if (day.fleet.nowMs > STARTED_MS) {
                day.arrive(perStep, maxWaitMs);
            }
        }
        for (int i = 0; i < NODES; i++) {
            day.counts.calls += day.fleet.node("n" + i).calls;
        }
        day.counts.worstWindow = day.fleet.worstWindow();
        return day.counts;
    }

    private void breakSomething() {
        SimulatedNode node = fleet.node("n" + random.nextInt(NODES));
        long nowMs = fleet.nowMs;
        switch (random.nextInt(20)) {
            case 0, 1, 2, 3, 4, 5, 6, 7 -> node.kill(random.nextInt(1_000, 4_000));
            case 8, 9, 10 -> node.kill(random.nextInt(8_000, 20_000));
            case 11, 12, 13, 14 -> node.freeze(random.nextInt(500, 10_000));
            case 15, 16 -> {
                node.reportsCutUntilMs = nowMs + random.nextInt(1_000, 10_000);
                node.storeCutUntilMs = node.reportsCutUntilMs;
            }
            case 17 -> cutZone(random.nextInt(ZONES), nowMs + random.nextInt(1_000, 8_000));
            case 18 -> fleet.endStoreUntil(nowMs + random.nextInt(1_000, 6_000));
            default -> killLeader();
        }
    }

    private void cutZone(int zone, long untilMs) {
        BitSet group = new BitSet();
        for (int i = zone; i < NODES; i += ZONES) {
            group.set(i);
        }
        fleet.cutGroup(group, untilMs);
    }

    private void killLeader() {
        int leader = fleet.store.leader(fleet.nowMs);
        if (leader >= 0) {
            fleet.node("n" + leader).kill(2_000);
        }
    }

    private void arrive(double perStep, long maxWaitMs) {
        for (int arrivals = poisson(perStep); arrivals > 0; arrivals--) {
            SimulatedNode node = fleet.node("n" + random.nextInt(NODES));
            long need =
                    Math.clamp(Math.round(-Math.log(1 - random.nextDouble()) * MEAN_TOKENS), MIN_TOKENS, MAX_TOKENS);
            if (node.runs()) {
                boolean hadRoom = owed.hasRoom(need, fleet.nowMs);
                if (hadRoom) {
                    counts.owedTokens += need;
                    owed.take(need, fleet.nowMs);
                }
                counts.requests++;
                request(node, need, hadRoom, maxWaitMs);
            }
        }
    }

    private int poisson(double mean) {
        int count = 0;
        for (double left = mean + Math.log(1 - random.nextDouble());
                left > 0;
                left += Math.log(1 - random.nextDouble())) {
            count++;
        }
        return count;
    }

    private void resumeWaiting() {
        List<Waiting> due = new ArrayList<>();
        waiting.removeIf(
                each -> (each.dueMs <= fleet.nowMs || each.forTable && each.node.knowsTable()) && due.add(each));
        due.stream().filter(each -> each.node.runs()).forEach(each -> request(each.node, each.need, each.hadRoom, 0));
    }

    private void request(SimulatedNode node, long need, boolean hadRoom, long maxWaitMs) {
        if (!node.knowsTable() && maxWaitMs > 0) {
            waiting.add(new Waiting(node, need, hadRoom, fleet.nowMs + START_WAIT_MS, true));
            return;
        }
        switch (node.request("w", need)) {
            case TokenTaker.Decision.Admitted admitted -> {
                fleet.recordSend(need);
                counts.admittedTokens += need;
                charged.take(need, fleet.nowMs);
            }
            case TokenTaker.Decision.OverCap over -> {
                if (over.retryMs() <= maxWaitMs) {
                    counts.waited++;
                    waiting.add(new Waiting(node, need, hadRoom, fleet.nowMs + over.retryMs(), false));
                    return;
                }
                refused(node, need, hadRoom);
            }
            case TokenTaker.Decision.Unknown unknown -> {
                counts.unknown++;
                refused(node, need, hadRoom);
            }
        }
    }

    private void refused(SimulatedNode node, long need, boolean hadRoom) {
        counts.refused++;
        counts.belowCap += hadRoom ? 1 : 0;
        counts.belowCutOff += hadRoom && node.isCutOff() ? 1 : 0;
        counts.belowCharged += charged.hasRoom(need, fleet.nowMs) ? 1 : 0;
    }
}
