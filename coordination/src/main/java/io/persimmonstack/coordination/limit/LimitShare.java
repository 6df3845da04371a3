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
 * Permits of a fleet-wide limit that one node may use: its own share, and those that other nodes lent.
 *
 * <p>The permits are dealt out to the live nodes by rendezvous rank, so nodes with the same view agree without a call.
 * A node lends a permit only while it does not use it. A permit is used again no sooner than an interval after its last
 * use began, which bounds the rate as well. A node that may be cut off does not deal anew and keeps its own share; the
 * others then deal its permits out among themselves, so that all together use at most the limit and what the nodes that
 * are cut off had: their own shares, and what they had borrowed for loads in progress.
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
     * Right to use the limit once.
     *
     * @param lender node that lent it, empty where it is the node's own
     * @param acquiredMs time at which its use began
     */
    public record Permit(Optional<String> lender, long acquiredMs) {}

    private record Loan(String node, long timeMs) {}

    private static final long LOAN_RECLAIM_DELAY_MS = 60_000;

    private final String limit;
    private final String node;
    private final List<Loan> lent = new ArrayList<>();
    private final List<Loan> unusedBorrowed = new ArrayList<>();
    private final List<Loan> pendingReturns = new ArrayList<>();
    private final List<Long> cooldownEndsMs = new ArrayList<>();
    private int ownPermits;
    private long reuseIntervalMs;
    private int ownInUse;

    private LimitShare(String limit, String node) {
        this.limit = limit;
        this.node = node;
    }

    /**
     * Creates a share without permits.
     *
     * @param limit name of the limit
     * @param node name of the node
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
     * Computes the node's own share anew and forgets loans to nodes that have been gone for long.
     *
     * @param total permits of the whole fleet
     * @param newIntervalMs least time between the begins of two uses of one permit
     * @param live nodes that are alive, this one included
     * @param nowMs current time
     */
    public synchronized void resize(int fleetPermits, long newReuseIntervalMs, Collection<String> liveNodes, long nowMs) {
        ownPermits = allocate(fleetPermits, liveNodes).getOrDefault(node, 0);
        reuseIntervalMs = newReuseIntervalMs;
        // What a node that is gone has ordered goes on at the engine for a while.
        lent.removeIf(loan -> !liveNodes.contains(loan.node()) && nowMs - loan.timeMs() >= LOAN_RECLAIM_DELAY_MS);
    }

    /**
     * Deals permits out to nodes.
     *
     * @param total permits of the whole fleet
     * @param live nodes that are alive
     * @return permits of each node that has one
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
     * Begins a use.
     *
     * @param nowMs current time
     * @return the permit, or empty where none is free
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
     * Ends a use.
     *
     * @param permit permit whose use ends
     * @param nowMs current time
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
     * Lends a permit.
     *
     * @param borrower node that wants one
     * @param nowMs current time
     * @return whether one was lent
     */
    public synchronized boolean lend(String borrower, long nowMs) {
        if (availablePermits(nowMs) <= 0) {
            return false;
        }
        lent.add(new Loan(borrower, nowMs));
        return true;
    }

    /** Takes a lent permit back. */
    public synchronized void recordReturned(String borrower) {
        for (Iterator<Loan> loans = lent.iterator(); loans.hasNext(); ) {
            if (loans.next().node().equals(borrower)) {
                loans.remove();
                return;
            }
        }
    }

    /** Notes a permit that another node lent. */
    public synchronized void recordBorrowed(String lender, long nowMs) {
        unusedBorrowed.add(new Loan(lender, nowMs));
    }

    /**
     * Returns the lenders that are to get a permit back now, and forgets those permits.
     *
     * @param nowMs current time
     * @param unusedMs time after which a borrowed permit without use goes back
     * @return lenders, once for each permit
     */
    public synchronized List<String> pollDueReturns(long nowMs, long maxIdleMs) {
        List<String> due = new ArrayList<>();
        pendingReturns.removeIf(loan -> loan.timeMs() <= nowMs && due.add(loan.node()));
        unusedBorrowed.removeIf(loan -> nowMs - loan.timeMs() >= maxIdleMs && due.add(loan.node()));
        return due;
    }

    private int availablePermits(long nowMs) {
        cooldownEndsMs.removeIf(endMs -> endMs <= nowMs);
        return ownPermits - ownInUse - lent.size() - cooldownEndsMs.size();
    }
}
