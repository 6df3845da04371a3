package io.persimmonstack.coordinator.view;

import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.SnapshotRequest;

/**
 * Announces the state of the router on this host to other members. The router reports its state with each request for a
 * snapshot and is announced as stopped when its reports cease.
 */
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

    /** Creates a monitor for the router on the host of the given membership's node. */
    public static LocalRouterMonitor of(Membership<NodeAttributes, RunnerStatus> membership, TimeSource time) {
        return new LocalRouterMonitor(membership, time);
    }

    /**
     * Announces the state that the local router reports. Ignores routers on other hosts, because their own coordinators
     * announce them.
     *
     * @param request request for a snapshot, with which a router reports its state
     */
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

    /** Announces the router as stopped if its last report is more than 5 s old. */
    public void markStoppedIfSilent() {
        if (time.nanoTime() - lastReportNanos > REPORT_TIMEOUT_NANOS) {
            membership.update(attributes -> attributes.withRouterState(RouterState.STOPPED));
        }
    }
}
