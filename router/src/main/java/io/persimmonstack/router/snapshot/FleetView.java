package io.persimmonstack.router.snapshot;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Immutable view of the fleet, built from one snapshot of a coordinator. A newer view replaces it as a whole.
 *
 * @param coordinator node of the coordinator that sent the snapshot, empty before the first snapshot
 * @param sequence number of the snapshot at that coordinator
 * @param configuration configuration in force
 * @param routers routers in service, without those that are leaving
 * @param coordinators addresses of the live coordinators
 * @param models runners by the {@code model@version} that they have loaded
 * @param loading predicted time until a model is loaded in milliseconds, by {@code model@version}
 * @param services instances by name of their service
 */
public record FleetView(
        String coordinator,
        long sequence,
        FleetConfiguration configuration,
        List<RouterEntry> routers,
        List<PeerAddress> coordinators,
        Map<String, List<Target>> models,
        Map<String, Long> loading,
        Map<String, List<Target>> services) {
    /** Makes the collections immutable. */
    public FleetView {
        routers = List.copyOf(routers);
        coordinators = List.copyOf(coordinators);
        models = Map.copyOf(models);
        loading = Map.copyOf(loading);
        services = Map.copyOf(services);
    }

    /** Returns the empty view that is in use before the first snapshot. */
    public static FleetView empty() {
        return new FleetView("", 0, FleetConfiguration.empty(), List.of(), List.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns whether the view was built from a snapshot, that is, whether it is not the empty view. */
    public boolean hasSnapshot() {
        return !coordinator.isEmpty();
    }

    /**
     * Returns the runners that have a model loaded, leaving ones included.
     *
     * @param modelVersion name in the form {@code model@version}
     * @return the targets, empty if no runner has the model loaded
     */
    public List<Target> modelTargets(String modelVersion) {
        return models.getOrDefault(modelVersion, List.of());
    }

    /**
     * Returns the instances of a plain service, leaving ones included.
     *
     * @param service name of the service
     * @return the targets, empty if there is no such service
     */
    public List<Target> serviceTargets(String service) {
        return services.getOrDefault(service, List.of());
    }

    /**
     * Returns the predicted time until the first load in progress of a model completes, as of the snapshot.
     *
     * @param modelVersion name in the form {@code model@version}
     * @return milliseconds, empty if the model is not being loaded
     */
    public OptionalLong readyInMs(String modelVersion) {
        Long ready = loading.get(modelVersion);
        return ready == null ? OptionalLong.empty() : OptionalLong.of(ready);
    }
}
