package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.request.ModelRef;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Forecast of the load of a model by a node that does not know the orders of the leader. */
public final class LoadForecast {
    private LoadForecast() {}

    /**
     * Returns the shortest time until a runner can hold a model that one request waits for, in milliseconds, by
     * {@link ArrivalEstimator} and without loads in progress; empty if a runner holds it or it is not configured.
     *
     * @param service name of the service
     * @param engine capacity and models of the service
     * @param runners runners of the service
     * @param model requested model
     */
    public static OptionalLong earliestMs(String service, Engine engine, Collection<Runner> runners, ModelRef model) {
        ServiceState state = new ServiceState(
                engine,
                runners.stream().map(LoadForecast::idleState).toList(),
                List.of(new FleetDemand(model, 1, 0, 0, 0)),
                Map.of(),
                0,
                true,
                true);
        return ArrivalEstimator.estimate(service, state, List.of()).stream()
                .mapToLong(ModelArrival::earliestMs)
                .min();
    }

    private static RunnerState idleState(Runner runner) {
        Map<String, HeldModel> models =
                runner.models().stream().collect(Collectors.toMap(HeldModel::name, Function.identity()));
        return new RunnerState(
                runner.id(),
                runner.zone(),
                runner.softwareVersion(),
                true,
                true,
                runner.leaving(),
                0,
                models,
                Set.of(),
                Optional.empty(),
                Set.of(),
                Set.of(),
                runner.inMemory(),
                runner.onDisk(),
                RequestCounts.of(Map.of()),
                runner.slots());
    }
}
