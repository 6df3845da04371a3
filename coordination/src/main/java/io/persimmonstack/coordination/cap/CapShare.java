package io.persimmonstack.coordination.cap;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Part of a workspace's cap that belongs to each of its slots.
 *
 * @param slots slots that the workspace uses, in an order that all nodes agree on
 * @param ratePerSecond units that flow into each slot per second
 * @param capacity units that a slot holds at most
 */
public record CapShare(List<Integer> slots, double ratePerSecond, double capacity) {
    /** Number of slots, over which the right to grant tokens is divided. */
    public static final int SLOTS = 8;
    /** Holders from which the tokens of one request are taken at most, since each is a call. */
    static final int MAX_PARTS = 2;
    /** Tokens that a large request counts; a slot should hold as many. */
    private static final double LARGE_REQUEST_TOKENS = 4_000;
    /** Slots of the smallest workspace, so that the loss of a holder leaves it another one. */
    private static final int MIN_SLOTS = 2;
    /** Requests that a slot should hold at least where requests are counted. */
    private static final double MIN_SLOT_REQUESTS = 4;

    private static final List<String> SLOT_NAMES =
            IntStream.range(0, SLOTS).mapToObj(String::valueOf).toList();

    /**
     * Returns the share of a cap in tokens.
     *
     * @param workspace name of the workspace
     * @param ratePerSecond tokens that all slots together get per second
     * @param burst tokens that the cap allows at once
     * @param bounds tell by how much the slots together may hold more
     */
    public static CapShare ofTokens(String workspace, double ratePerSecond, double burst, CapBounds bounds) {
        double capacity = burst + bounds.extraTokens();
        int count = Math.max(MIN_SLOTS, slotCount(capacity, LARGE_REQUEST_TOKENS));
        return new CapShare(slotsOf(workspace, count), bounds.inflowFactor() * ratePerSecond / count, capacity / count);
    }

    /** Returns the share of a cap in requests. A slot holds one more than its part of the burst, which may be less. */
    public static CapShare ofRequests(String workspace, double ratePerSecond, double burst, CapBounds bounds) {
        int count = slotCount(burst, MIN_SLOT_REQUESTS);
        return new CapShare(
                slotsOf(workspace, count), bounds.inflowFactor() * ratePerSecond / count, burst / count + 1);
    }

    private static int slotCount(double burst, double perSlot) {
        return (int) Math.clamp(burst / perSlot, 1, SLOTS);
    }

    private static List<Integer> slotsOf(String workspace, int count) {
        return RendezvousHash.ranked(workspace, SLOT_NAMES).stream()
                .limit(count)
                .map(Integer::valueOf)
                .toList();
    }

    /** Returns whether the slots from which a request may be served can ever hold so much. */
    public boolean canServe(double need) {
        return need <= capacity * Math.min(MAX_PARTS, slots.size());
    }
}
