package io.persimmonstack.examples;

import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.coordination.limit.LimitShare.Permit;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Enforces one concurrency limit across all processes of a fleet; permits of the own share need no remote call. */
public final class SharedLimit {
    private static final String LIMIT_NAME = "downloads";
    /** Time after which an unused borrowed permit is returned. */
    private static final long MAX_IDLE_MS = 1_000;

    private final String node;
    private final LimitShare share;
    private final Map<String, SharedLimit> peers;

    private SharedLimit(String node, Map<String, SharedLimit> peers) {
        this.node = node;
        this.share = LimitShare.of(LIMIT_NAME, node);
        this.peers = peers;
        peers.put(node, this);
    }

    /** Creates the share of one process; the map stands in for remote calls to the other processes by name. */
    public static SharedLimit of(String node, Map<String, SharedLimit> peers) {
        return new SharedLimit(node, peers);
    }

    /**
     * Recomputes the share of this process; to be called at the start and whenever a process joins or leaves. A permit
     * can be acquired again only after the reuse interval.
     */
    public void resize(int fleetPermits, long reuseIntervalMs, List<String> liveNodes, long nowMs) {
        share.resize(fleetPermits, reuseIntervalMs, liveNodes, nowMs);
    }

    /** Runs the work with an own or a borrowed permit; returns false if no process has a permit left. */
    public boolean run(Runnable work, long nowMs) {
        Optional<Permit> permit = share.tryAcquire(nowMs).or(() -> borrow(nowMs));
        permit.ifPresent(held -> {
            work.run();
            share.release(held, nowMs);
        });
        return permit.isPresent();
    }

    private Optional<Permit> borrow(long nowMs) {
        for (SharedLimit peer : peers.values()) {
            if (peer != this && peer.share.lend(node, nowMs)) {
                share.recordBorrowed(peer.node, nowMs);
                return share.tryAcquire(nowMs);
            }
        }
        return Optional.empty();
    }

    /** Returns the borrowed permits that are no longer needed to their lenders. */
    public void returnDuePermits(long nowMs) {
        share.pollDueReturns(nowMs, MAX_IDLE_MS)
                .forEach(lender -> peers.get(lender).share.recordReturned(node));
    }
}
