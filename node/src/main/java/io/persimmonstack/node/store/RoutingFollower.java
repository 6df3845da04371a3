package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.runtime.event.EventLog;
import java.util.List;

/** Applies each newer configuration to the fleet view. Older and unreadable ones are ignored. */
public final class RoutingFollower implements StoreFollower.Listener {
    private static final EventLog LOG = EventLog.of(RoutingFollower.class);
    private final String key;
    private final RoutingDecoder decoder;
    private final FleetView fleet;

    private RoutingFollower(String key, RoutingDecoder decoder, FleetView fleet) {
        this.key = key;
        this.decoder = decoder;
        this.fleet = fleet;
    }

    /**
     * Returns a listener for the key of the configuration.
     *
     * @param key key whose value is the newest configuration
     * @param decoder decodes the value
     * @param fleet receives the configuration
     */
    public static RoutingFollower of(String key, RoutingDecoder decoder, FleetView fleet) {
        return new RoutingFollower(key, decoder, fleet);
    }

    @Override
    public void onSnapshot(KvRange range) {
        range.entries().forEach(this::applyEntry);
    }

    @Override
    public void onChanges(List<KvChange> changes) {
        for (KvChange change : changes) {
            if (change instanceof KvChange.Written written) {
                applyEntry(written.entry());
            }
        }
    }

    @Override
    public void onCompleteUpTo(long nanos) {
        fleet.recordRoutingCompleteUpTo(nanos);
    }

    private void applyEntry(KvEntry entry) {
        if (!entry.key().equals(key)) {
            return;
        }
        try {
            RoutingTable routing = decoder.routing(entry.value());
            long versionBefore =
                    fleet.current().routing().map(RoutingTable::version).orElse(0L);
            if (routing.version() > versionBefore) {
                fleet.update(now -> now.withRouting(routing));
                LOG.write(
                        NodeEvent.CONFIGURATION,
                        routing.version(),
                        versionBefore,
                        entry.revision(),
                        routing.routeCount(),
                        routing.services().size());
                routing.workspaceKeys()
                        .ifPresent(keys -> LOG.write(
                                NodeEvent.WORKSPACES,
                                routing.version(),
                                keys.workspaces().size(),
                                keys.keyCount()));
            }
        } catch (UnreadableException e) {
            LOG.write(NodeEvent.CONFIGURATION_UNREADABLE, entry.revision(), e.getMessage());
        }
    }
}
