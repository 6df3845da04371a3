package io.persimmonstack.coordination.cap;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Part of a workspace's cap that belongs to each of its slots.
 *
 * @param slots slots that the workspace uses, in an order that all nodes agree on
 * @param ratePerSecond units that flow into each slot per second
 * @param burst units that a slot holds at most
 * @param maxDebt units by which a request may exceed the burst of a slot
 */
public record CapShare(List<Integer> slots, double ratePerSecond, double burst, double maxDebt) {
    /** Number of slots, over which the right to grant tokens is divided. */
    public static final int SLOTS = 8;
    /** Tokens that a large request counts; a slot should hold as many. */
    private static final double LARGE_REQUEST_TOKENS = 4_000;
    /** Requests that a slot should hold at least where requests are counted. */
    private static final double MIN_SLOT_REQUESTS = 4;

    private static final List<String> SLOT_NAMES =
            IntStream.range(0, SLOTS).mapToObj(String::valueOf).toList();

    /**
     * Returns the share of a cap in tokens.
     *
     * @param workspace name of the workspace
     * @param ratePerSecond tokens that all slots together get per second
     * @param burst tokens that all slots together hold at most
     * @param bounds limit the debts
     */
    public static CapShare ofTokens(String workspace, double ratePerSecond, double burst, CapBounds bounds) {
        int count = slotCount(burst, LARGE_REQUEST_TOKENS);
        return new CapShare(
                slotsOf(workspace, count), ratePerSecond / count, burst / count, bounds.maxDebtTokens() / count);
    }

    /** Returns the share of a cap in requests. Each counts one, so that a debt of one is enough for any burst. */
    public static CapShare ofRequests(String workspace, double ratePerSecond, double burst) {
        int count = slotCount(burst, MIN_SLOT_REQUESTS);
        return new CapShare(slotsOf(workspace, count), ratePerSecond / count, burst / count, 1);
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

    /** Returns whether a slot can ever serve a request that counts so much. */
    public boolean canServe(double need) {
        return need <= burst + maxDebt;
    }
}
