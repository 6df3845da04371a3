package io.persimmonstack.examples;

import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.coordination.limit.LimitShare.Permit;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Keeps all processes of a fleet together within one limit, without a call for a permit of the own share. */
public final class SharedLimit {
    private static final String LIMIT_NAME = "downloads";
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

    /** Returns the share of a process; {@code peers} stands for calls to the other processes by name. */
    public static SharedLimit of(String node, Map<String, SharedLimit> peers) {
        return new SharedLimit(node, peers);
    }

    /** Deals the limit out anew, at the start and whenever a process comes or goes. */
    public void resize(int fleetPermits, long reuseIntervalMs, List<String> liveNodes, long nowMs) {
        share.resize(fleetPermits, reuseIntervalMs, liveNodes, nowMs);
    }

    /** Runs the work with a permit of its own or a borrowed one; returns false where the limit is spent. */
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

    /** Gives borrowed permits back whose use has ended. */
    public void returnDuePermits(long nowMs) {
        share.pollDueReturns(nowMs, MAX_IDLE_MS)
                .forEach(lender -> peers.get(lender).share.recordReturned(node));
    }
}
