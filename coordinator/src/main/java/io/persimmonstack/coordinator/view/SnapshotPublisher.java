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

/** Numbers the changes of the fleet's state and lets routers wait for the next one. */
public final class SnapshotPublisher {
    private static final int MAX_WAIT_MS = 30_000;
    private final FleetView view;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private long sequence;

    private SnapshotPublisher(FleetView view, ConfigurationFeed<FleetConfiguration> feed, long firstSequence) {
        this.view = view;
        this.feed = feed;
        this.sequence = firstSequence;
    }

    /**
     * Creates the publisher.
     *
     * @param view state of the fleet
     * @param feed configuration
     * @param firstSequence first number, above all numbers of earlier processes of the node
     * @return the publisher
     */
    public static SnapshotPublisher of(FleetView view, ConfigurationFeed<FleetConfiguration> feed, long firstSequence) {
        return new SnapshotPublisher(view, feed, firstSequence);
    }

    /** Numbers a change and wakes the routers that wait for one. */
    public void stateChanged() {
        lock.lock();
        try {
            sequence++;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until there is something that the router does not know.
     *
     * @param request what the router knows, and how long it waits
     * @return everything, whether or not it is new
     * @throws InterruptedException if the server stops
     */
    public Snapshot await(SnapshotRequest request) throws InterruptedException {
        long current = awaitNews(request);
        ConfigurationFeed.ActiveConfiguration<FleetConfiguration> configuration = feed.current();
        Member<NodeAttributes> self = view.membership().self();
        Snapshot snapshot = new Snapshot(
                current,
                self.node(),
                self.incarnation(),
                configuration.version(),
                view.membership().members().stream().map(GossipMapping::toWire).toList(),
                List.copyOf(view.statuses()),
                services());
        if (configuration.version() > request.getKnownConfigurationVersion()) {
            snapshot.setConfiguration(configuration.content());
        }
        return snapshot;
    }

    private long awaitNews(SnapshotRequest request) throws InterruptedException {
        boolean followsMe =
                request.getCoordinatorNode().equals(view.membership().self().node());
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(request.getWaitMs(), MAX_WAIT_MS));
        lock.lock();
        try {
            while (followsMe && request.getKnownSequence() == sequence && waitNanos > 0) {
                waitNanos = changed.awaitNanos(waitNanos);
            }
            return sequence;
        } finally {
            lock.unlock();
        }
    }

    private List<ServiceInstance> services() {
        return view.hosts().services().stream()
                .filter(host -> host.state() != HostState.GONE)
                .map(SnapshotPublisher::instance)
                .toList();
    }

    private static ServiceInstance instance(Host host) {
        return new ServiceInstance(
                host.service().orElse(host.name()),
                host.name(),
                host.address().toString(),
                host.zone(),
                host.region(),
                host.state() != HostState.LIVE);
    }
}
