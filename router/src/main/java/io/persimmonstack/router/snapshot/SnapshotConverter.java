package io.persimmonstack.router.snapshot;

import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.ServiceInstance;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Converts a snapshot sent by a coordinator into a {@link FleetView}. */
final class SnapshotConverter {
    private final int serviceConcurrency;

    private SnapshotConverter(int serviceConcurrency) {
        this.serviceConcurrency = serviceConcurrency;
    }

    static SnapshotConverter of(int serviceConcurrency) {
        return new SnapshotConverter(serviceConcurrency);
    }

    /**
     * Converts a snapshot.
     *
     * @param snapshot snapshot as received
     * @param currentConfiguration configuration to keep unless the snapshot has a newer one
     * @return the view of the snapshot
     * @throws ConfigurationException if the configuration of the snapshot cannot be decoded
     */
    FleetView toFleetView(Snapshot snapshot, FleetConfiguration currentConfiguration) throws ConfigurationException {
        Map<String, List<Target>> models = new HashMap<>();
        Map<String, Long> loading = new HashMap<>();
        snapshot.getRunners().forEach(runner -> addModels(runner, models, loading));
        Map<String, List<Target>> services = new HashMap<>();
        snapshot.getServices().forEach(instance -> addServiceInstance(instance, services));
        return new FleetView(
                snapshot.getCoordinatorNode(),
                snapshot.getSequence(),
                newerConfiguration(snapshot, currentConfiguration),
                servingRouters(snapshot.getMembers()),
                liveCoordinators(snapshot.getMembers()),
                models,
                loading,
                services);
    }

    /**
     * Returns the configuration of the snapshot if its version is higher, else the current one, so that the router
     * never reverts to an older configuration.
     */
    private static FleetConfiguration newerConfiguration(Snapshot snapshot, FleetConfiguration currentConfiguration)
            throws ConfigurationException {
        if (!snapshot.isSetConfiguration() || snapshot.getConfigurationVersion() <= currentConfiguration.version()) {
            return currentConfiguration;
        }
        return ConfigurationCodec.decode(snapshot.getConfiguration());
    }

    private static List<RouterEntry> servingRouters(List<Member> members) {
        List<RouterEntry> routers = new ArrayList<>();
        for (Member member : members) {
            boolean serving = member.getRouterState() == RouterState.SERVING && isLive(member);
            if (serving && !member.getRouterCallersAddress().isEmpty()) {
                routers.add(new RouterEntry(
                        member.getNode(),
                        member.getZone(),
                        member.getRouterCallersAddress(),
                        PeerAddress.parse(member.getRouterPeerAddress())));
            }
        }
        return routers;
    }

    private static List<PeerAddress> liveCoordinators(List<Member> members) {
        return members.stream()
                .filter(SnapshotConverter::isLive)
                .map(member -> PeerAddress.parse(member.getCoordinatorAddress()))
                .toList();
    }

    /** Returns whether a member is taken to be running. A suspect one is, until it is declared dead. */
    private static boolean isLive(Member member) {
        return member.getStatus() == MemberStatus.ALIVE || member.getStatus() == MemberStatus.SUSPECT;
    }

    private static void addModels(RunnerStatus runner, Map<String, List<Target>> models, Map<String, Long> loading) {
        for (LoadedModel model : runner.getModels()) {
            if (model.getState() == LoadState.LOADED) {
                models.computeIfAbsent(model.getModel(), ignored -> new ArrayList<>())
                        .add(toTarget(runner, model));
            } else if (model.getState() == LoadState.LOADING && model.isSetReadyInMs()) {
                loading.merge(model.getModel(), model.getReadyInMs(), Math::min);
            }
        }
    }

    private static Target toTarget(RunnerStatus runner, LoadedModel model) {
        return new Target(
                runner.getRunner(),
                PeerAddress.parse(runner.getAddress()),
                runner.getZone(),
                runner.getRegion(),
                Math.max(1, runner.getMaxConcurrent()),
                runner.isLeaving(),
                Set.copyOf(model.getAdapters()),
                Optional.ofNullable(runner.getSoftwareVersion()));
    }

    private void addServiceInstance(ServiceInstance instance, Map<String, List<Target>> services) {
        services.computeIfAbsent(instance.getServiceName(), ignored -> new ArrayList<>())
                .add(new Target(
                        instance.getInstance(),
                        PeerAddress.parse(instance.getAddress()),
                        instance.getZone(),
                        instance.getRegion(),
                        serviceConcurrency,
                        instance.isLeaving(),
                        Set.of(),
                        Optional.empty()));
    }
}
