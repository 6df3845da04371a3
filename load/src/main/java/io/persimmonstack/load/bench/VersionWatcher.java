package io.persimmonstack.load.bench;

import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;
import java.util.concurrent.TimeUnit;

/** Follows the snapshots of one coordinator by long polling and records when it first serves a newer configuration. */
final class VersionWatcher {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Time that the coordinator may hold a request until it has a newer snapshot. */
    private static final int LONG_POLL_MS = 1_000;

    private static final int CALL_TIMEOUT_MS = 5_000;
    private final PeerAddress address;
    private final ThriftPeers<Coordinator.Client> coordinators =
            ThriftPeers.of(new Coordinator.Client.Factory(), CONNECT_TIMEOUT_MS);
    private long latestVersion;
    /** {@link System#nanoTime()} at which {@code latestVersion} was first seen. */
    private long latestVersionNanos;

    private VersionWatcher(PeerAddress address) {
        this.address = address;
    }

    /** Starts to follow a coordinator on a virtual thread, which ends with the process. */
    static VersionWatcher start(PeerAddress address) {
        VersionWatcher watcher = new VersionWatcher(address);
        Thread.ofVirtual().start(watcher::follow);
        return watcher;
    }

    /**
     * Waits until the coordinator serves the version or a newer one, and returns the {@link System#nanoTime()} at which
     * its version last changed; after a time-out, returns the end of the wait.
     */
    synchronized long awaitVersionNanos(long targetVersion, long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (latestVersion < targetVersion && System.nanoTime() < deadlineNanos) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())));
        }
        return latestVersion >= targetVersion ? latestVersionNanos : deadlineNanos;
    }

    /** Polls until interrupted; a failed call is repeated, since the coordinator may be starting. */
    private void follow() {
        long snapshotSequence = 0;
        String coordinatorNode = "";
        long knownVersion = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                SnapshotRequest request = new SnapshotRequest(
                        "bench",
                        snapshotSequence,
                        knownVersion,
                        LONG_POLL_MS,
                        RouterState.STARTING,
                        0,
                        coordinatorNode);
                Snapshot snapshot =
                        coordinators.call(address, CALL_TIMEOUT_MS, client -> client.awaitSnapshot(request));
                snapshotSequence = snapshot.getSequence();
                coordinatorNode = snapshot.getCoordinatorNode();
                knownVersion = snapshot.getConfigurationVersion();
                recordVersion(knownVersion);
            } catch (WireException e) {
                Thread.yield();
            }
        }
    }

    private synchronized void recordVersion(long observedVersion) {
        if (observedVersion > latestVersion) {
            latestVersion = observedVersion;
            latestVersionNanos = System.nanoTime();
            notifyAll();
        }
    }
}
