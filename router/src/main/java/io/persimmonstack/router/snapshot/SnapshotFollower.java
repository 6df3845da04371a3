package io.persimmonstack.router.snapshot;

import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;

/**
 * Keeps the fleet view up to date by long-polling a coordinator: the one on the router's own host, or another one while
 * that one fails or does not answer.
 */
public final class SnapshotFollower implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(SnapshotFollower.class);
    private static final int POLL_WAIT_MS = 1_000;

    /** Time that a coordinator may take to answer after {@link #POLL_WAIT_MS} has passed. */
    private static final int ANSWER_MARGIN_MS = 1_000;

    private static final int ANNOUNCE_TIMEOUT_MS = 1_000;
    private static final long RETRY_PAUSE_MS = 200;
    private static final long JOIN_TIMEOUT_MS = 2_000;

    private final SelfDescription self;
    private final CoordinatorClient coordinators;
    private final FleetViews views;
    private final SnapshotConverter converter;
    private final Thread thread;
    private volatile boolean closed;

    private SnapshotFollower(
            SelfDescription self, CoordinatorClient coordinators, FleetViews views, SnapshotConverter converter) {
        this.self = self;
        this.coordinators = coordinators;
        this.views = views;
        this.converter = converter;
        this.thread = Thread.ofVirtual().name("snapshot-follower").unstarted(this::pollUntilClosed);
    }

    /**
     * Starts to poll on a virtual thread.
     *
     * @param self what the router reports about itself
     * @param coordinators client for the coordinators
     * @param views holder of the view to update
     * @param serviceConcurrency most requests that this router sends to an instance of a plain service at once
     * @return the follower
     */
    public static SnapshotFollower start(
            SelfDescription self, CoordinatorClient coordinators, FleetViews views, int serviceConcurrency) {
        SnapshotFollower follower =
                new SnapshotFollower(self, coordinators, views, SnapshotConverter.of(serviceConcurrency));
        follower.thread.start();
        return follower;
    }

    /**
     * Sets the state of this router and reports it to a coordinator at once, without waiting for the next poll. If it
     * cannot be reported, this is only logged.
     *
     * @param state new state
     */
    public void announce(RouterState state) {
        self.state().set(state);
        try {
            coordinators.callAny(ANNOUNCE_TIMEOUT_MS, client -> client.awaitSnapshot(snapshotRequest(0)));
        } catch (WireException e) {
            LOG.write(RouterEvent.COORDINATOR_FAILED, "any", e.getMessage());
        }
    }

    private void pollUntilClosed() {
        while (!closed) {
            PeerAddress coordinator = coordinators.candidates().get(0);
            try {
                Snapshot snapshot = coordinators.call(
                        coordinator,
                        POLL_WAIT_MS + ANSWER_MARGIN_MS,
                        client -> client.awaitSnapshot(snapshotRequest(POLL_WAIT_MS)));
                applySnapshot(snapshot);
            } catch (WireException e) {
                pauseAfterFailure(coordinator, e.getMessage());
            } catch (ConfigurationException | RuntimeException e) {
                pauseAfterFailure(coordinator, e.toString());
            }
        }
    }

    private SnapshotRequest snapshotRequest(int waitMs) {
        FleetView view = views.current();
        SnapshotRequest request = new SnapshotRequest(
                self.node(),
                view.sequence(),
                view.configuration().version(),
                waitMs,
                self.state().get(),
                self.incarnation(),
                view.coordinator());
        request.setRouterCallersAddress(self.callersAddress());
        request.setRouterPeerAddress(self.peerAddress());
        return request;
    }

    /** Replaces the view if the snapshot differs from it in coordinator, sequence number or configuration version. */
    private void applySnapshot(Snapshot snapshot) throws ConfigurationException {
        FleetView previous = views.current();
        FleetView view = converter.toFleetView(snapshot, previous.configuration());
        boolean unchanged = view.coordinator().equals(previous.coordinator())
                && view.sequence() == previous.sequence()
                && view.configuration().version() == previous.configuration().version();
        if (!unchanged) {
            views.replace(view);
        }
        if (!view.coordinator().equals(previous.coordinator())) {
            LOG.write(RouterEvent.COORDINATOR_FOLLOWED, view.coordinator(), view.sequence());
        }
    }

    private void pauseAfterFailure(PeerAddress coordinator, String reason) {
        if (closed) {
            return;
        }
        LOG.write(RouterEvent.COORDINATOR_FAILED, coordinator, reason);
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
