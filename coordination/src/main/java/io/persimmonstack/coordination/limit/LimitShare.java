package io.persimmonstack.coordination.limit;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Permits of a fleet-wide limit that one node may use: its own and those borrowed from other nodes. Thread-safe.
 *
 * <p>The permits are allocated to the live nodes by rendezvous hashing, so nodes with the same membership view agree
 * without communication. A node lends only unused permits. A permit can be acquired again only after a minimum interval
 * since its last acquisition, which also bounds the rate. A node that may be partitioned from the fleet must not
 * reallocate and keeps its own permits. Meanwhile the other nodes reallocate its permits among themselves, so the fleet
 * may exceed the limit by at most the permits of the partitioned nodes: their own and those borrowed for loads in
 * progress.
 *
 * <pre>{@code
 * share.resize(4, 1_333, liveNodes, nowMs);
 * Optional<Permit> permit = share.tryAcquire(nowMs);
 * // later
 * permit.ifPresent(held -> share.release(held, nowMs));
 * }</pre>
 */
public final class LimitShare {
    /**
     * Right to one concurrent use of the limit.
     *
     * @param lender node that lent the permit, empty if the permit is the node's own
     * @param acquiredMs time of the acquisition, in milliseconds
     */
    public record Permit(Optional<String> lender, long acquiredMs) {}

    /**
     * Permit lent by one node to another.
     *
     * @param node the other party: the borrower of a lent permit, the lender of a borrowed one
     * @param timeMs time of the loan; for a pending return, the earliest time at which it may be returned
     */
    private record Loan(String node, long timeMs) {}

    /** Time from a loan until it is reclaimed from a dead node, whose loads continue at the engine for a while. */
    private static final long LOAN_RECLAIM_DELAY_MS = 60_000;

    private final String limit;
    private final String node;
    /** Own permits lent to other nodes. */
    private final List<Loan> lent = new ArrayList<>();
    /** Borrowed permits that have not been acquired yet. */
    private final List<Loan> unusedBorrowed = new ArrayList<>();
    /** Borrowed permits that have been released and must be returned to their lenders. */
    private final List<Loan> pendingReturns = new ArrayList<>();
    /** Times at which the reuse intervals of released own permits end. */
    private final List<Long> cooldownEndsMs = new ArrayList<>();
    /** Permits allocated to this node. */
    private int ownPermits;

    private long reuseIntervalMs;
    /** Own permits acquired by this node. */
    private int ownInUse;

    private LimitShare(String limit, String node) {
        this.limit = limit;
        this.node = node;
    }

    /**
     * Creates a share that has no permits until it is {@linkplain #resize resized}.
     *
     * @param limit name of the limit
     * @param node name of this node
     * @return the share
     */
    public static LimitShare of(String limit, String node) {
        return new LimitShare(limit, node);
    }

    /** Returns the name of the limit. */
    public String limit() {
        return limit;
    }

    /**
     * Recomputes this node's own permits and reclaims permits lent at least 60 s ago to nodes that are no longer alive.
     *
     * @param fleetPermits permits of the whole fleet
     * @param newReuseIntervalMs minimum time between two acquisitions of the same permit, in milliseconds
     * @param liveNodes nodes that are alive, including this one
     * @param nowMs current time in milliseconds
     */
    public synchronized void resize(
            int fleetPermits, long newReuseIntervalMs, Collection<String> liveNodes, long nowMs) {
        ownPermits = allocate(fleetPermits, liveNodes).getOrDefault(node, 0);
        reuseIntervalMs = newReuseIntervalMs;
        // Loads ordered by a dead node continue at the engine for a while.
        lent.removeIf(loan -> !liveNodes.contains(loan.node()) && nowMs - loan.timeMs() >= LOAN_RECLAIM_DELAY_MS);
    }

    /**
     * Allocates the permits of the fleet to nodes. The result depends only on the arguments and the name of the limit.
     *
     * @param fleetPermits permits of the whole fleet
     * @param liveNodes nodes that are alive
     * @return number of permits by node, without nodes that have none
     */
    public Map<String, Integer> allocate(int fleetPermits, Collection<String> liveNodes) {
        Map<String, Integer> permitsByNode = new TreeMap<>();
        List<String> ranked = RendezvousHash.ranked(limit, liveNodes);
        for (int i = 0; i < fleetPermits && !ranked.isEmpty(); i++) {
            permitsByNode.merge(ranked.get(i % ranked.size()), 1, Integer::sum);
        }
        return permitsByNode;
    }

    /**
     * Acquires a permit if one is available; borrowed permits are used first.
     *
     * @param nowMs current time in milliseconds
     * @return the permit, or empty if none is available
     */
    public synchronized Optional<Permit> tryAcquire(long nowMs) {
        if (!unusedBorrowed.isEmpty()) {
            return Optional.of(new Permit(Optional.of(unusedBorrowed.remove(0).node()), nowMs));
        }
        if (availablePermits(nowMs) <= 0) {
            return Optional.empty();
        }
        ownInUse++;
        return Optional.of(new Permit(Optional.empty(), nowMs));
    }

    /**
     * Releases a permit. An own permit becomes available, and a borrowed one due for return, once its reuse interval
     * has passed.
     *
     * @param permit permit to release
     * @param nowMs current time in milliseconds
     */
    public synchronized void release(Permit permit, long nowMs) {
        long reusableAtMs = Math.max(nowMs, permit.acquiredMs() + reuseIntervalMs);
        if (permit.lender().isPresent()) {
            pendingReturns.add(new Loan(permit.lender().get(), reusableAtMs));
            return;
        }
        ownInUse--;
        if (reusableAtMs > nowMs) {
            cooldownEndsMs.add(reusableAtMs);
        }
    }

    /**
     * Lends one of this node's own permits if one is available.
     *
     * @param borrower node that borrows the permit
     * @param nowMs current time in milliseconds
     * @return whether a permit was lent
     */
    public synchronized boolean lend(String borrower, long nowMs) {
        if (availablePermits(nowMs) <= 0) {
            return false;
        }
        lent.add(new Loan(borrower, nowMs));
        return true;
    }

    /** Records that a borrower has returned one permit; without effect if it has none of this node's permits. */
    public synchronized void recordReturned(String borrower) {
        for (Iterator<Loan> loans = lent.iterator(); loans.hasNext(); ) {
            if (loans.next().node().equals(borrower)) {
                loans.remove();
                return;
            }
        }
    }

    /** Records that this node has borrowed one permit. */
    public synchronized void recordBorrowed(String lender, long nowMs) {
        unusedBorrowed.add(new Loan(lender, nowMs));
    }

    /**
     * Removes the borrowed permits that are due for return: those released and past their reuse interval, and those
     * borrowed but not used.
     *
     * @param nowMs current time in milliseconds
     * @param maxIdleMs time after which an unused borrowed permit is due for return, in milliseconds
     * @return lenders of these permits, once for each permit
     */
    public synchronized List<String> pollDueReturns(long nowMs, long maxIdleMs) {
        List<String> due = new ArrayList<>();
        pendingReturns.removeIf(loan -> loan.timeMs() <= nowMs && due.add(loan.node()));
        unusedBorrowed.removeIf(loan -> nowMs - loan.timeMs() >= maxIdleMs && due.add(loan.node()));
        return due;
    }

    /** Returns the number of own permits that can be acquired or lent now; negative after the share has shrunk. */
    private int availablePermits(long nowMs) {
        cooldownEndsMs.removeIf(endMs -> endMs <= nowMs);
        return ownPermits - ownInUse - lent.size() - cooldownEndsMs.size();
    }
}
