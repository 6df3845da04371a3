package io.persimmonstack.coordinator;

import io.persimmonstack.backends.hosts.HostListException;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.HostListSnapshot;
import io.persimmonstack.coordinator.view.SnapshotPublisher;
import io.persimmonstack.runtime.event.EventLog;

/** Reads the host list, and adjusts this node's share of calls to the key-value store to the number of nodes. */
final class HostListReader {
    private static final EventLog LOG = EventLog.of(HostListReader.class);

    private final PlatformClients platform;
    private final FleetView view;
    private final SnapshotPublisher snapshots;

    private HostListReader(PlatformClients platform, FleetView view, SnapshotPublisher snapshots) {
        this.platform = platform;
        this.view = view;
        this.snapshots = snapshots;
    }

    /**
     * Creates a reader.
     *
     * @param platform host list and budget of calls
     * @param view gets the hosts
     * @param snapshots told of a change
     */
    static HostListReader of(PlatformClients platform, FleetView view, SnapshotPublisher snapshots) {
        return new HostListReader(platform, view, snapshots);
    }

    /** Reads the list. If that fails, logs the failure and keeps the previous list. */
    void read() {
        try {
            HostListSnapshot hosts = HostListSnapshot.of(platform.hostList().hosts());
            if (view.replaceHosts(hosts)) {
                snapshots.stateChanged();
            }
            platform.kvBudget().updateNodeCount(nodeCount());
        } catch (HostListException e) {
            LOG.write(CoordinatorEvent.HOST_LIST_FAILED, e.getMessage());
        }
    }

    /** Returns the number of nodes that are listed or members, whichever is larger. */
    private int nodeCount() {
        int listed = view.hosts().entries().size();
        return Math.max(listed, view.liveMembers().size());
    }
}
