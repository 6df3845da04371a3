package io.persimmonstack.coordination.limit;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LimitShareTest {
    private static final long INTERVAL_MS = 1_000;
    private static final long MAX_IDLE_MS = 500;

    /**
     * Nodes that consider each other alive never exceed the limit or the rate, while they acquire, lend and release at
     * random.
     */
    @Property(tries = 60, seed = "4711")
    void fleetStaysWithinTheLimitAndTheRate(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 12) int nodes,
            @ForAll @IntRange(min = 1, max = 8) int total) {
        Map<String, LimitShare> shares = new TreeMap<>();
        for (int i = 0; i < nodes; i++) {
            shares.put("n" + i, LimitShare.of("loads", "n" + i));
        }
        shares.values().forEach(share -> share.resize(total, INTERVAL_MS, shares.keySet(), 0));
        List<String> names = List.copyOf(shares.keySet());
        Map<String, List<LimitShare.Permit>> held = new TreeMap<>();
        Random random = new Random(seed);
        List<Long> acquiredAtMs = new ArrayList<>();
        int inUse = 0;
        for (long now = 0; now < 20_000; now += 50) {
            String node = names.get(random.nextInt(nodes));
            LimitShare share = shares.get(node);
            List<LimitShare.Permit> permits = held.computeIfAbsent(node, ignored -> new ArrayList<>());
            if (!permits.isEmpty() && random.nextBoolean()) {
                share.release(permits.remove(0), now);
                inUse--;
            }
            Optional<LimitShare.Permit> permit = share.tryAcquire(now);
            if (permit.isPresent()) {
                permits.add(permit.get());
                acquiredAtMs.add(now);
                inUse++;
            } else {
                String lender = names.get(random.nextInt(nodes));
                if (!lender.equals(node) && shares.get(lender).lend(node, now)) {
                    share.recordBorrowed(lender, now);
                }
            }
            share.pollDueReturns(now, MAX_IDLE_MS)
                    .forEach(lender -> shares.get(lender).recordReturned(node));
            assertTrue(inUse <= total, inUse + " permits of " + total + " are in use");
        }
        for (int i = total; i < acquiredAtMs.size(); i++) {
            assertTrue(
                    acquiredAtMs.get(i) - acquiredAtMs.get(i - total) >= INTERVAL_MS,
                    "acquisitions at " + acquiredAtMs);
        }
    }

    /**
     * An isolated node keeps its permits, while the others consider it dead and reallocate them. All nodes together use
     * at most the limit plus the permits that the isolated node had when it was cut off.
     */
    @Property(tries = 60, seed = "4711")
    void isolatedNodeExceedsTheLimitByAtMostItsHeldPermits(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 3, max = 12) int nodes,
            @ForAll @IntRange(min = 1, max = 30) int total) {
        Map<String, LimitShare> shares = new TreeMap<>();
        for (int i = 0; i < nodes; i++) {
            shares.put("n" + i, LimitShare.of("adapters", "n" + i));
        }
        shares.values().forEach(share -> share.resize(total, 0, shares.keySet(), 0));
        Random random = new Random(seed);
        List<String> names = List.copyOf(shares.keySet());
        Usage usage = new Usage();
        for (int step = 0; step < 200; step++) {
            usage.step(shares, names, random, step);
            assertTrue(usage.inUse() <= total, usage.inUse() + " permits of " + total + " are in use");
        }
        String isolated = names.get(random.nextInt(nodes));
        int heldByIsolated =
                shares.get(isolated).allocate(total, names).getOrDefault(isolated, 0) + usage.borrowedBy(isolated);
        List<String> others =
                names.stream().filter(name -> !name.equals(isolated)).toList();
        others.forEach(name -> shares.get(name).resize(total, 0, others, 70_000));
        int maxInUse = 0;
        for (int step = 0; step < 400; step++) {
            usage.step(shares, step % 4 == 0 ? List.of(isolated) : others, random, 70_000 + step);
            maxInUse = Math.max(maxInUse, usage.inUse());
        }
        assertTrue(
                maxInUse <= total + heldByIsolated,
                maxInUse + " permits of " + total + " are in use, the isolated node had " + heldByIsolated);
    }

    /** Tracks the permits in use, by node. */
    private static final class Usage {
        private final Map<String, List<LimitShare.Permit>> held = new TreeMap<>();

        int inUse() {
            return held.values().stream().mapToInt(List::size).sum();
        }

        int borrowedBy(String node) {
            return (int) held.getOrDefault(node, List.of()).stream()
                    .filter(permit -> permit.lender().isPresent())
                    .count();
        }

        /**
         * Makes a random node release, acquire or borrow a permit; only the nodes in {@code reachable} can reach each
         * other.
         */
        void step(Map<String, LimitShare> shares, List<String> reachable, Random random, long nowMs) {
            String node = reachable.get(random.nextInt(reachable.size()));
            LimitShare share = shares.get(node);
            List<LimitShare.Permit> permits = held.computeIfAbsent(node, ignored -> new ArrayList<>());
            if (!permits.isEmpty() && random.nextInt(3) == 0) {
                share.release(permits.remove(0), nowMs);
            }
            Optional<LimitShare.Permit> permit = share.tryAcquire(nowMs);
            permit.ifPresent(permits::add);
            String lender = reachable.get(random.nextInt(reachable.size()));
            if (permit.isEmpty() && !lender.equals(node) && shares.get(lender).lend(node, nowMs)) {
                share.recordBorrowed(lender, nowMs);
            }
            share.pollDueReturns(nowMs, MAX_IDLE_MS).stream()
                    .filter(reachable::contains)
                    .forEach(lenderToRepay -> shares.get(lenderToRepay).recordReturned(node));
        }
    }

    @Test
    void permitLentToADeadBorrowerIsReclaimedAfterADelay() {
        LimitShare share = LimitShare.of("loads", "a");
        share.resize(1, 0, List.of("a"), 0);
        assertTrue(share.lend("b", 0));
        assertFalse(share.tryAcquire(1).isPresent());
        share.resize(1, 0, List.of("a"), 59_999);
        assertFalse(share.tryAcquire(59_999).isPresent(), "the borrower's load may still be running");
        share.resize(1, 0, List.of("a"), 60_000);
        assertTrue(share.tryAcquire(60_000).isPresent());
    }

    @Test
    void nodeWithoutLoansUsesOnlyItsOwnPermits() {
        LimitShare share = LimitShare.of("loads", "a");
        share.resize(4, 0, List.of("a", "b"), 0);
        assertTrue(share.tryAcquire(0).isPresent());
        assertTrue(share.tryAcquire(0).isPresent());
        assertFalse(share.tryAcquire(0).isPresent());
    }
}
