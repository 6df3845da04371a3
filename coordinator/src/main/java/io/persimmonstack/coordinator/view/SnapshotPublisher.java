package io.persimmonstack.coordinator.view;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.gen.ServiceInstance;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Provides snapshots of the fleet's state to routers by long polling. Each change increments a sequence number; a
 * router sends the number of its last snapshot and waits until there is a higher one.
 */
public final class SnapshotPublisher {
    private static final int MAX_WAIT_MS = 30_000;
    private final FleetView view;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition sequenceChanged = lock.newCondition();
    private long sequence;

    private SnapshotPublisher(FleetView view, ConfigurationFeed<FleetConfiguration> feed, long firstSequence) {
        this.view = view;
        this.feed = feed;
        this.sequence = firstSequence;
    }

    /**
     * Creates the publisher.
     *
     * @param view source of members, runners and service instances
     * @param feed source of the configuration
     * @param firstSequence initial sequence number, higher than any that an earlier process of this node used
     * @return the publisher
     */
    public static SnapshotPublisher of(FleetView view, ConfigurationFeed<FleetConfiguration> feed, long firstSequence) {
        return new SnapshotPublisher(view, feed, firstSequence);
    }

    /** Increments the sequence number and wakes the routers that wait for a change. */
    public void stateChanged() {
        lock.lock();
        try {
            sequence++;
            sequenceChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until the state differs from the one that the router knows or its maximum wait has passed, at most 30 s.
     * Does not wait if the router followed another coordinator before.
     *
     * @param request sequence number and configuration version that the router knows, and its maximum wait
     * @return snapshot of the whole state, with the configuration's content only if it is newer than the router's
     * @throws InterruptedException if the server stops
     */
    public Snapshot await(SnapshotRequest request) throws InterruptedException {
        long currentSequence = awaitNewSequence(request);
        ConfigurationFeed.ActiveConfiguration<FleetConfiguration> configuration = feed.current();
        Member<NodeAttributes> self = view.membership().self();
        Snapshot snapshot = new Snapshot(
                currentSequence,
                self.node(),
                self.incarnation(),
                configuration.version(),
                view.membership().members().stream().map(GossipMapping::toWire).toList(),
                List.copyOf(view.statuses()),
                serviceInstances());
        if (configuration.version() > request.getKnownConfigurationVersion()) {
            snapshot.setConfiguration(configuration.content());
        }
        return snapshot;
    }

    private long awaitNewSequence(SnapshotRequest request) throws InterruptedException {
        boolean followsThisNode =
                request.getCoordinatorNode().equals(view.membership().self().node());
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(request.getWaitMs(), MAX_WAIT_MS));
        lock.lock();
        try {
            while (followsThisNode && request.getKnownSequence() == sequence && waitNanos > 0) {
                waitNanos = sequenceChanged.awaitNanos(waitNanos);
            }
            return sequence;
        } finally {
            lock.unlock();
        }
    }

    private List<ServiceInstance> serviceInstances() {
        return view.hosts().services().stream()
                .filter(host -> host.state() != HostState.GONE)
                .map(SnapshotPublisher::toServiceInstance)
                .toList();
    }

    private static ServiceInstance toServiceInstance(Host host) {
        return new ServiceInstance(
                host.service().orElse(host.name()),
                host.name(),
                host.address().toString(),
                host.zone(),
                host.region(),
                host.state() != HostState.LIVE);
    }
}
