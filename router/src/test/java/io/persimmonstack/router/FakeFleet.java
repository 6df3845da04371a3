package io.persimmonstack.router;

import io.persimmonstack.configuration.CallerKey;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.configuration.ServicePolicy;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.ServiceInstance;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.ArrayList;
import java.util.List;

/** Builds the fleet that a fake coordinator publishes, with two callers, two models and two service policies. */
final class FakeFleet {
    static final String CALLER_KEY = CallerKey.key("desk", "secret");
    static final String OTHER_CALLER_KEY = CallerKey.key("hotel", "secret");
    private final List<Member> members = new ArrayList<>();
    private final List<RunnerStatus> runners = new ArrayList<>();
    private final List<ServiceInstance> services = new ArrayList<>();

    static FakeFleet of() {
        return new FakeFleet();
    }

    FakeFleet router(String node, Router router, String peerAddress) {
        return router(node, router.callersAddress().toString(), peerAddress, RouterState.SERVING);
    }

    FakeFleet router(String node, String callersAddress, String peerAddress, RouterState state) {
        members.add(new Member(
                node, 1, 1, MemberStatus.ALIVE, "z1", "r1", "127.0.0.1:1", state, callersAddress, peerAddress, 1, 1));
        return this;
    }

    FakeFleet runner(FakeTarget target, String zone, int maxConcurrent, String... models) {
        return runner(target, zone, maxConcurrent, false, models);
    }

    FakeFleet runner(FakeTarget target, String zone, int maxConcurrent, boolean leaving, String... models) {
        return runner(target.name(), target.address(), zone, maxConcurrent, leaving, models);
    }

    FakeFleet runner(String name, String address, String zone, int maxConcurrent, boolean leaving, String... models) {
        List<LoadedModel> loaded = new ArrayList<>();
        for (String model : models) {
            loaded.add(new LoadedModel(model, LoadState.LOADED, 1, List.of("clause")));
        }
        runners.add(new RunnerStatus(
                name, address, zone, "r1", "n1", 1, 1, 1, 100, List.of(models), loaded, leaving, true, maxConcurrent));
        return this;
    }

    /** Sets the software version that the runner added last tells. */
    FakeFleet softwareVersion(String version) {
        runners.getLast().setSoftwareVersion(version);
        return this;
    }

    FakeFleet runnerLoading(String runner, String model, long readyInMs) {
        LoadedModel loadingModel = new LoadedModel(model, LoadState.LOADING, 1, List.of());
        loadingModel.setReadyInMs(readyInMs);
        runners.add(new RunnerStatus(
                runner,
                "127.0.0.1:1",
                "z1",
                "r1",
                "n1",
                1,
                1,
                1,
                100,
                List.of(model),
                List.of(loadingModel),
                false,
                true,
                4));
        return this;
    }

    FakeFleet service(String service, FakeTarget target) {
        services.add(new ServiceInstance(service, target.name(), target.address(), "z1", "r1", false));
        return this;
    }

    Snapshot snapshot(String coordinator, long sequence) {
        FleetConfiguration configuration = configuration();
        Snapshot snapshot = new Snapshot(
                sequence, coordinator, 1, configuration.version(), List.copyOf(members), runners, services);
        snapshot.setConfiguration(ConfigurationCodec.encode(configuration));
        return snapshot;
    }

    private static FleetConfiguration configuration() {
        List<String> callers = List.of("desk", "hotel");
        return new FleetConfiguration(
                1,
                List.of(
                        new Deployment(
                                "deeds", "deed", List.of("v1", "v2"), List.of("clause"), callers, 3, 2, 0, 1, 20_000),
                        new Deployment(
                                "leases", "lease", List.of("v1"), List.of(), List.of("desk"), 5, 2, 0, 1, 20_000)),
                List.of(CallerKey.of("desk", "salt", CALLER_KEY), CallerKey.of("hotel", "salt", OTHER_CALLER_KEY)),
                List.of(
                        new ServicePolicy("bay", callers, false, 20_000, 2),
                        new ServicePolicy("map", callers, true, 20_000, 5)));
    }
}
