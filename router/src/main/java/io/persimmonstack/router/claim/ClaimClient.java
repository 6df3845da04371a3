package io.persimmonstack.router.claim;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.coordination.claim.ClaimShards;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.RouterEntry;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.RouterPeer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Claims idempotency keys through the preferred router of the key's shard. This router writes the shard itself when it
 * is the preferred one or when the preferred one does not answer. Claiming twice is safe: a claimant that finds its own
 * claim recorded holds the key.
 */
public final class ClaimClient implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ClaimClient.class);
    private static final int CONNECT_TIMEOUT_MS = 300;
    /** Part of the wait reserved for the network: the called router stops waiting this much earlier. */
    private static final long ROUND_TRIP_RESERVE_MS = 20;

    private static final int SETTLE_TIMEOUT_MS = 2_000;
    /** Longest wait of one try, so that a silent preferred router leaves time to claim locally. */
    private static final long MAX_CALL_MS = 1_000;
    /** Time during which a router that failed a call is not asked again. */
    private static final long FAILED_PEER_COOLDOWN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String node;
    private final ClaimShards shards;
    private final LocalClaims localClaims;
    private final FleetViews views;
    private final Map<PeerAddress, Long> failedAtNanos = new ConcurrentHashMap<>();
    private final ThriftPeers<RouterPeer.Client> peers;

    private ClaimClient(
            String node, ClaimShards shards, LocalClaims localClaims, FleetViews views, PeerSecurity security) {
        this.peers = ThriftPeers.of(new RouterPeer.Client.Factory(), CONNECT_TIMEOUT_MS, security);
        this.node = node;
        this.shards = shards;
        this.localClaims = localClaims;
        this.views = views;
    }

    /**
     * Creates a client.
     *
     * @param node node name of this router
     * @param shards assignment of keys to shards
     * @param localClaims claim log writers of this router
     * @param views source of the current fleet view, with the other routers
     * @param security TLS settings for calls to other routers
     * @return the client
     */
    public static ClaimClient of(
            String node, ClaimShards shards, LocalClaims localClaims, FleetViews views, PeerSecurity security) {
        return new ClaimClient(node, shards, localClaims, views, security);
    }

    /**
     * Claims a key, retrying until the claim is decided or the time is up.
     *
     * @param claim the claim
     * @param waitMs time until the claimant gives up
     * @param trace trace headers for the called router
     * @return the result; {@link ClaimResult.Unsettled} if any try may have recorded the claim without confirmation
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public ClaimResult claim(Claim claim, long waitMs, Map<String, String> trace) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Optional<ClaimResult> unsettled = Optional.empty();
        while (true) {
            long remainingMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
            ClaimResult result = claimOnce(claim, Math.min(remainingMs, MAX_CALL_MS), trace);
            boolean decided = !(result instanceof ClaimResult.NotClaimed) && !(result instanceof ClaimResult.Unsettled);
            if (decided) {
                return result;
            }
            if (result instanceof ClaimResult.Unsettled) {
                unsettled = Optional.of(result);
            }
            if (System.nanoTime() - deadlineNanos >= 0) {
                return unsettled.orElse(result);
            }
        }
    }

    /** Claims at the preferred router, or locally if there is no other router to ask. */
    private ClaimResult claimOnce(Claim claim, long waitMs, Map<String, String> trace) throws InterruptedException {
        Optional<PeerAddress> peer = preferredPeer(claim.key());
        if (peer.isEmpty()) {
            return claimLocally(claim, waitMs);
        }
        int shardWaitMs = (int) Math.max(1, waitMs - ROUND_TRIP_RESERVE_MS);
        try {
            ClaimAnswer answer = peers.call(
                    peer.get(), (int) waitMs, client -> client.claim(ClaimWireCodec.toWire(claim), shardWaitMs, trace));
            failedAtNanos.remove(peer.get());
            return ClaimWireCodec.fromWire(answer, claim);
        } catch (WireException e) {
            LOG.write(RouterEvent.CLAIM_PEER_FAILED, peer.get(), e.getMessage());
            failedAtNanos.put(peer.get(), System.nanoTime());
            return e.progress() == WireException.Progress.NOT_SENT
                    ? new ClaimResult.NotClaimed(e.getMessage())
                    : new ClaimResult.Unsettled(e.getMessage());
        }
    }

    private ClaimResult claimLocally(Claim claim, long waitMs) throws InterruptedException {
        try {
            return localClaims.claim(claim, waitMs).get(waitMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return new ClaimResult.Unsettled("the shard gave no answer in time");
        } catch (ExecutionException e) {
            return new ClaimResult.Unsettled(e.getCause().toString());
        }
    }

    /** Returns the preferred router of the key's shard; empty if that is this router or one that failed recently. */
    private Optional<PeerAddress> preferredPeer(String key) {
        var routers = views.current().routers();
        return shards.preferredNode(
                        shards.shardOf(key),
                        routers.stream().map(RouterEntry::node).toList())
                .filter(preferredNode -> !preferredNode.equals(node))
                .flatMap(preferredNode -> routers.stream()
                        .filter(router -> router.node().equals(preferredNode))
                        .findFirst())
                .map(RouterEntry::peerAddress)
                .filter(address -> !failedRecently(address));
    }

    private boolean failedRecently(PeerAddress address) {
        Long lastFailureNanos = failedAtNanos.get(address);
        return lastFailureNanos != null && System.nanoTime() - lastFailureNanos < FAILED_PEER_COOLDOWN_NANOS;
    }

    /**
     * Records the outcome of a claimed request without blocking. This router records it if the call to the preferred
     * router of the shard fails.
     *
     * @param claim the claim of the request
     * @param outcome answer that retries of the request will get
     * @param trace trace headers for the called router
     */
    public void settle(Claim claim, ClaimOutcome outcome, Map<String, String> trace) {
        Optional<PeerAddress> peer = preferredPeer(claim.key());
        if (peer.isEmpty()) {
            localClaims.settle(claim, outcome);
            return;
        }
        Thread.ofVirtual().name("settle").start(() -> {
            try {
                peers.call(peer.get(), SETTLE_TIMEOUT_MS, client -> {
                    client.settle(ClaimWireCodec.toWire(claim, outcome), trace);
                    return true;
                });
            } catch (WireException e) {
                LOG.write(RouterEvent.CLAIM_PEER_FAILED, peer.get(), e.getMessage());
                localClaims.settle(claim, outcome);
            }
        });
    }

    @Override
    public void close() {
        peers.close();
    }
}
