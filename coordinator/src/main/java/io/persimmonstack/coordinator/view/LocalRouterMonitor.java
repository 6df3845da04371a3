package io.persimmonstack.coordinator.view;

import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.SnapshotRequest;

/** Announces what the host's own router says of itself, and that it stopped once it asks no more. */
public final class LocalRouterMonitor {
    private static final long REPORT_TIMEOUT_NANOS = 5_000_000_000L;
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final TimeSource time;
    private volatile long lastReportNanos;

    private LocalRouterMonitor(Membership<NodeAttributes, RunnerStatus> membership, TimeSource time) {
        this.membership = membership;
        this.time = time;
        this.lastReportNanos = time.nanoTime();
    }

    /** Returns the presence of the router of a node. */
    public static LocalRouterMonitor of(Membership<NodeAttributes, RunnerStatus> membership, TimeSource time) {
        return new LocalRouterMonitor(membership, time);
    }

    /** Takes what a router says of itself; a router of another host is announced by its own coordinator. */
    public void recordReport(SnapshotRequest request) {
        if (!request.getNode().equals(membership.self().node()) || !request.isSetRouterCallersAddress()) {
            return;
        }
        lastReportNanos = time.nanoTime();
        String peerAddress = request.isSetRouterPeerAddress() ? request.getRouterPeerAddress() : "";
        membership.update(attributes -> attributes.withRouter(
                request.getRouterState(),
                request.getRouterCallersAddress(),
                peerAddress,
                request.getRouterIncarnation()));
    }

    /** Announces that the router stopped if it has not asked for a while. */
    public void markStoppedIfSilent() {
        if (time.nanoTime() - lastReportNanos > REPORT_TIMEOUT_NANOS) {
            membership.update(attributes -> attributes.withRouterState(RouterState.STOPPED));
        }
    }
}
