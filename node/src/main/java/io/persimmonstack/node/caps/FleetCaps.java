package io.persimmonstack.node.caps;

import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.config.WorkspaceKeys;
import io.persimmonstack.node.fleet.FleetView;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Caps of the configuration in the fleet view, looked up once for each version. Thread-safe. */
public final class FleetCaps implements CapSource {
    private final FleetView fleet;
    private volatile Known known = new Known(Optional.empty(), Map.of());

    /** Configuration and its caps by workspace. */
    private record Known(Optional<RoutingTable> routing, Map<String, UsageCap> caps) {}

    private FleetCaps(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns the caps of the configuration that a fleet view has. */
    public static FleetCaps of(FleetView fleet) {
        return new FleetCaps(fleet);
    }

    @Override
    public boolean hasCaps() {
        return !caps().isEmpty();
    }

    @Override
    public Optional<UsageCap> capOf(String workspace) {
        return Optional.ofNullable(caps().get(workspace));
    }

    private Map<String, UsageCap> caps() {
        Optional<RoutingTable> routing = fleet.current().routing();
        Known present = known;
        if (!present.routing.equals(routing)) {
            present = new Known(routing, capsOf(routing));
            known = present;
        }
        return present.caps;
    }

    private static Map<String, UsageCap> capsOf(Optional<RoutingTable> routing) {
        List<Workspace> workspaces = routing.flatMap(RoutingTable::workspaceKeys)
                .map(WorkspaceKeys::workspaces)
                .map(List::copyOf)
                .orElse(List.of());
        Map<String, UsageCap> caps = new HashMap<>();
        for (Workspace workspace : workspaces) {
            workspace.cap().filter(CapShares::limits).ifPresent(cap -> caps.put(workspace.name(), cap));
        }
        return caps;
    }
}
