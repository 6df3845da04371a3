package io.persimmonstack.coordination.cap;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Fleet in simulated time, with drawn demand of one workspace and drawn faults. */
final class SimulatedFleet {
    static final CapBounds BOUNDS = new CapBounds(8_000, 0.1, 7_500);
    private static final double MAX_BURST_SECONDS = 5;
    private static final String WORKSPACE = "w";
    static final int STEP_MS = 50;
    /** Time within which a node learns of a new cap. */
    private static final int APPLY_MS = 3_000;

    /** Where requests arrive. */
    enum Place {
        ALL_NODES,
        ONE_NODE,
        MOVING
    }

    /**
     * Demand of the workspace.
     *
     * @param factor demand as a multiple of the rate of the cap, while there is any
     * @param place where it arrives
     * @param moveMs time after which another node gets it
     * @param pauseMs duration of a pause without demand, which alternates with demand of the same duration; 0 for none
     * @param minTokens smallest request
     * @param maxTokens largest request
     * @param refusedShare share of the admitted requests that end without having run
     */
    record Demand(
            double factor, Place place, int moveMs, int pauseMs, int minTokens, int maxTokens, double refusedShare) {}

    /** Request that was sent. */
    private record Send(long atMs, long tokens) {}

    /** Cap that some node goes by; the highest rate and burst of all nodes. */
    private record HighestCap(double rate, double burst) {}

    final SimulatedStore store = new SimulatedStore();
    long nowMs;
    private final Random random;
    private final Demand demand;
    private final double faultsPerSecond;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<Send> sends = new ArrayList<>();
    private final List<HighestCap> highest = new ArrayList<>();
    private final List<CapChange> caps = new ArrayList<>();
    private final Map<CapShare, CapChange> capOfShare = new HashMap<>();
    private double rate;
    private long storeBackMs = -1;
    private BitSet sides = new BitSet();
    private long partitionEndMs = -1;
    private double due;
    private int movedTo;
    private int refusedOverCap;
    private int refusedUnknown;
    private final List<GivenBack> toGiveBack = new ArrayList<>();

    /** Admitted request that ends without having run. */
    private record GivenBack(long atMs, SimulatedNode node, List<TokenBatch> batches, Send send) {}

    /** Cap of the configuration. */
    private record CapChange(double rate, double burst) {}

    SimulatedFleet(Random random, int count, double rate, double burst, Demand demand, double faultsPerSecond) {
        this.random = random;
        this.demand = demand;
        this.faultsPerSecond = faultsPerSecond;
        this.rate = rate;
        CapShare share = addCap(burst);
        for (int i = 0; i < count; i++) {
            nodes.add(new SimulatedNode(i, this, random, share));
        }
    }

    int size() {
        return nodes.size();
    }

    SimulatedNode node(String name) {
        return nodes.get(Integer.parseInt(name.substring(1)));
    }

    /** Returns whether an answer on its way now is lost. */
    boolean losesAnswer() {
        return faultsPerSecond > 0 && random.nextInt(50) == 0;
    }

    void run(long untilMs) {
        for (; nowMs < untilMs; nowMs += STEP_MS) {
            if (random.nextDouble() < faultsPerSecond * STEP_MS / 1_000) {
                breakSomething();
            }
            stepNodes();
            giveBack();
            arrive();
            recordHighestCap();
        }
    }

    private void stepNodes() {
        store.setAvailable(nowMs >= storeBackMs);
        nodes.forEach(SimulatedNode::step);
    }

    /** Lets one step of time pass without demand and faults of its own. */
    void advance() {
        nowMs += STEP_MS;
        stepNodes();
    }

    /** Makes the store unavailable until a moment. */
    void endStoreUntil(long backMs) {
        storeBackMs = backMs;
    }

    /** Cuts the links between the nodes of a group and all others until a moment. */
    void cutGroup(BitSet group, long untilMs) {
        sides = group;
        partitionEndMs = untilMs;
    }

    /** Records a request that was sent now. */
    void recordSend(long tokens) {
        sends.add(new Send(nowMs, tokens));
    }

    private void breakSomething() {
        SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
        long shortMs = random.nextInt(3_000);
        long ms = random.nextInt(4) == 0 ? random.nextInt(15_000) : shortMs;
        switch (random.nextInt(14)) {
            case 0, 1 -> node.kill(ms);
            case 2 -> nodes.forEach(each -> each.kill(shortMs / 2));
            case 3 -> node.freeze(ms);
            case 4 -> freezeAndCut(node);
            case 5 -> node.reportsCutUntilMs = nowMs + ms;
            case 6 -> node.storeCutUntilMs = nowMs + ms;
            case 7 -> storeBackMs = nowMs + ms;
            case 8 -> leaveOrEnd(node, shortMs);
            case 9 -> changeCap();
            case 10 -> node.setWallClock(random.nextInt(10_000) - 5_000);
            case 11, 12 -> partition(random.nextInt(20_000));
            default -> copyOrRestoreStore();
        }
    }

    /** Freezes a node for so long that it loses its slots, and keeps it from hearing of that. */
    private void freezeAndCut(SimulatedNode node) {
        long ms = random.nextInt(1_000, 12_000);
        node.freeze(ms);
        node.reportsCutUntilMs = nowMs + ms + random.nextInt(10_000);
        node.storeCutUntilMs = node.reportsCutUntilMs;
    }

    /** Divides the nodes into two groups; the store can be reached from both or from one. */
    private void partition(long ms) {
        cutGroup(BitSet.valueOf(new long[] {random.nextInt(1 << nodes.size())}), nowMs + ms);
        boolean storeCut = random.nextBoolean();
        for (SimulatedNode node : nodes) {
            boolean cut = storeCut && sides.get(node.index);
            node.storeCutUntilMs = cut ? partitionEndMs : node.storeCutUntilMs;
        }
    }

    /** Returns whether a link between two nodes works. */
    boolean linked(SimulatedNode one, SimulatedNode other) {
        return nowMs >= partitionEndMs || sides.get(one.index) == sides.get(other.index);
    }

    private void leaveOrEnd(SimulatedNode node, long downMs) {
        if (node.isLeaving()) {
            node.kill(downMs);
        } else if (node.runs()) {
            node.leave();
        }
    }

    private void copyOrRestoreStore() {
        if (random.nextInt(3) == 0) {
            store.restore();
        } else {
            store.copy();
        }
    }

    private void changeCap() {
        double factor = Math.exp(random.nextDouble(-1.5, 1.5));
        rate = Math.clamp(rate * factor, 1_000, 40_000);
        double burst = rate * random.nextDouble(0.5, MAX_BURST_SECONDS);
        CapShare share = addCap(burst);
        nodes.forEach(node -> node.learnShare(share, nowMs + random.nextInt(APPLY_MS)));
    }

    private CapShare addCap(double burst) {
        CapShare share = CapShare.ofTokens(WORKSPACE, rate, burst, BOUNDS);
        caps.add(new CapChange(rate, burst));
        capOfShare.put(share, caps.getLast());
        return share;
    }

    private void arrive() {
        if (nowMs % demand.moveMs < STEP_MS) {
            movedTo = random.nextInt(nodes.size());
        }
        if (demand.pauseMs > 0 && nowMs / demand.pauseMs % 2 == 0) {
            return;
        }
        due += random.nextDouble(2) * demand.factor * caps.getFirst().rate * STEP_MS / 1_000;
        while (due > 0) {
            long need = random.nextInt(demand.minTokens, demand.maxTokens + 1);
            due -= need;
            SimulatedNode node = switch (demand.place) {
                case ALL_NODES -> nodes.get(random.nextInt(nodes.size()));
                case ONE_NODE -> nodes.getFirst();
                case MOVING -> nodes.get(movedTo);
            };
            if (node.runs()) {
                request(node, need);
            }
        }
    }

    private void request(SimulatedNode node, long need) {
        switch (node.request(WORKSPACE, need)) {
            case TokenTaker.Decision.Admitted admitted -> {
                Send send = new Send(nowMs, need);
                if (random.nextDouble() < demand.refusedShare) {
                    toGiveBack.add(new GivenBack(nowMs + random.nextInt(4_000), node, admitted.batches(), send));
                } else {
                    sends.add(send);
                }
            }
            case TokenTaker.Decision.OverCap over -> refusedOverCap++;
            case TokenTaker.Decision.Unknown unknown -> refusedUnknown++;
        }
    }

    private void giveBack() {
        toGiveBack.removeIf(given -> {
            if (given.atMs > nowMs) {
                return false;
            }
            given.node.giveBack(WORKSPACE, given.batches);
            return true;
        });
    }

    private void recordHighestCap() {
        double highestRate = 0;
        double highestBurst = 0;
        for (SimulatedNode node : nodes) {
            CapChange cap = capOfShare.get(node.share());
            highestRate = Math.max(highestRate, cap.rate);
            highestBurst = Math.max(highestBurst, cap.burst);
        }
        highest.add(new HighestCap(highestRate, highestBurst));
    }

    /** Returns the largest usage of any window, as a share of its bound. */
    double worstWindow() {
        double worst = 0;
        double sum = 0;
        int first = 0;
        for (Send last : sends) {
            sum += last.tokens;
            while (sends.get(first).atMs < last.atMs - BOUNDS.windowMs()) {
                sum -= sends.get(first++).tokens;
            }
            worst = Math.max(worst, sum / bound(last.atMs));
        }
        return worst;
    }

    /** Returns the bound of the window that ends now, by the highest cap since a window before it. */
    private double bound(long endMs) {
        double boundRate = 0;
        double boundBurst = 0;
        if (caps.size() == 1) {
            boundRate = caps.getFirst().rate;
            boundBurst = caps.getFirst().burst;
        } else {
            int from = (int) Math.max(0, (endMs - 2 * BOUNDS.windowMs()) / STEP_MS);
            for (HighestCap cap : highest.subList(from, (int) (endMs / STEP_MS) + 1)) {
                boundRate = Math.max(boundRate, cap.rate);
                boundBurst = Math.max(boundBurst, cap.burst);
            }
        }
        double windowSeconds = BOUNDS.windowMs() / 1_000.0;
        return (boundRate * windowSeconds + boundBurst) * (1 + BOUNDS.overshoot()) + BOUNDS.slackTokens();
    }

    /** Returns the tokens that were sent since a moment, as a share of what the rate allows. */
    double usedShareSince(long fromMs) {
        double used = sends.stream()
                .filter(send -> send.atMs >= fromMs)
                .mapToLong(Send::tokens)
                .sum();
        return used / (rate * (nowMs - fromMs) / 1_000);
    }

    int refused() {
        return refusedOverCap + refusedUnknown;
    }

    int refusedUnknown() {
        return refusedUnknown;
    }

    int sent() {
        return sends.size();
    }
}
