package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.request.ModelRef;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pattern: a release, in which the rest of a stream waits for a model or an adapter that runners of another software
 * version hold, but none of the version that began the stream.
 */
class VersionDemandTest {
    private static final Engine ENGINE = PlanningTestData.engine("a", "b", "c", "d");
    private static final Optional<String> OLD = Optional.of("old");

    private static RunnerStateBuilder runner(String id, String softwareVersion, String... models) {
        RunnerStateBuilder builder = RunnerStateBuilder.runner(id).softwareVersion(softwareVersion);
        for (String model : models) {
            builder.holding(PlanningTestData.heldModel(model));
        }
        return builder.copies(Set.of(models), Set.of(models));
    }

    private static FleetDemand goesOn(String model, String adapter) {
        return new FleetDemand(new ModelRef(model, adapter), 1, 100, 3_000, 0, OLD);
    }

    private static Set<String> loads(List<Directive> directives) {
        Set<String> loads = new HashSet<>();
        for (Directive directive : directives) {
            directive.orders().stream()
                    .filter(order ->
                            order instanceof PlacementOrder.LoadModel || order instanceof PlacementOrder.LoadAdapter)
                    .forEach(order -> loads.add(directive.runner() + " " + order.model()));
        }
        return loads;
    }

    private static Set<String> modelLoads(List<RunnerState> runners, FleetDemand... demands) {
        Map<String, Long> unmetMs = Map.of();
        return loads(ModelPolicy.plan(new ServiceState(ENGINE, runners, List.of(demands), unmetMs, 0, true, false)));
    }

    @Test
    void modelIsLoadedAtTheVersionThatBeganTheStream() {
        RunnerState old = runner("r1", "old", "b").build();
        RunnerState ofNew = runner("r2", "new", "a").build();
        assertEquals(Set.of("r1 a"), modelLoads(List.of(old, ofNew), goesOn("a", "")));
        assertEquals(Set.of("r1 a"), modelLoads(List.of(old, ofNew), goesOn("a", "x")));
    }

    @Test
    void modelIsNotLoadedAtAnotherVersionThatHasACopy() {
        RunnerState old = runner("r1", "old", "b").build();
        RunnerState ofNew = runner("r2", "new").copies(Set.of("a"), Set.of("a")).build();
        assertEquals(Set.of("r1 a"), modelLoads(List.of(old, ofNew), goesOn("a", "")));
    }

    @Test
    void loadAtAnotherVersionDoesNotCount() {
        RunnerState old = runner("r1", "old", "b").build();
        RunnerState ofNew = runner("r2", "new").loading("a").build();
        assertEquals(Set.of("r1 a"), modelLoads(List.of(old, ofNew), goesOn("a", "")));
    }

    @Test
    void nothingIsLoadedWhereTheVersionHoldsOrLoadsTheModel() {
        RunnerState free = runner("r3", "old").build();
        RunnerState ofNew = runner("r2", "new", "a").build();
        RunnerState holder = runner("r1", "old", "a").build();
        RunnerState loading = runner("r1", "old").loading("a").build();
        assertEquals(Set.of(), modelLoads(List.of(free, ofNew, holder), goesOn("a", "")));
        assertEquals(Set.of(), modelLoads(List.of(free, ofNew, loading), goesOn("a", "")));
    }

    /** New streams may be served anywhere; the rest of one may not, so that it has the first choice. */
    @Test
    void busyModelsDoNotTakeTheLastRunnerOfTheVersion() {
        RunnerState old = runner("r1", "old").build();
        RunnerState ofNew = runner("r2", "new", "a").build();
        Set<String> loads = modelLoads(
                List.of(old, ofNew),
                PlanningTestData.waitingDemand("c", 50),
                PlanningTestData.waitingDemand("d", 50),
                goesOn("a", ""));
        assertTrue(loads.contains("r1 a"), loads.toString());
        assertEquals(2, loads.size());
    }

    @Test
    void adapterIsLoadedAtTheVersionThatBeganTheStream() {
        RunnerState old = runner("r1", "old", "a").build();
        RunnerState ofNew = RunnerStateBuilder.runner("r2")
                .softwareVersion("new")
                .holding(new HeldModel("a", 1, Set.of("x")))
                .build();
        ServiceState state = PlanningTestData.state(ENGINE, List.of(ofNew, old), goesOn("a", "x"));
        assertEquals(Set.of("r1 a"), loads(AdapterPolicy.plan(state)));
    }

    /** Pattern: two models in use, of which runners of the version hold only one elsewhere; a third is cold. */
    @ParameterizedTest
    @CsvSource({"a, b", "b, a"})
    void onlyReplicaWithinTheVersionStaysIfAnotherVictimIsThere(String only, String spare) {
        Map<ModelRef, Integer> inUse = Map.of(new ModelRef(only, ""), 1, new ModelRef(spare, ""), 1);
        RunnerState old = runner("r1", "old", only, spare).requests(inUse).build();
        RunnerState otherOld = runner("r2", "old", spare).unknown().build();
        RunnerState ofNew = runner("r3", "new", only).unknown().build();
        FleetDemand longWaiting = new FleetDemand(new ModelRef("c", ""), 3, 6_000, 9_000, 0.5, OLD);
        List<Directive> directives =
                ModelPolicy.plan(PlanningTestData.state(ENGINE, List.of(old, otherOld, ofNew), longWaiting));
        assertEquals(
                List.of(new PlacementOrder.UnloadModel(spare), new PlacementOrder.LoadModel("c")),
                directives.getFirst().orders());
    }

    @Test
    void estimateOfArrivalIsForTheRunnersOfTheVersion() {
        RunnerState old = runner("r1", "old").copies(Set.of(), Set.of("a")).build();
        RunnerState ofNew = runner("r2", "new", "a").build();
        ServiceState state =
                PlanningTestData.state(ENGINE, List.of(old, ofNew), goesOn("a", ""), goesOn("b", ""), goesOn("c", ""));
        List<RunnerStateTracker.LoadInProgress> loads = List.of(
                new RunnerStateTracker.LoadInProgress("b", "new", 5),
                new RunnerStateTracker.LoadInProgress("c", "old", 70));
        assertEquals(
                Set.of(
                        new ModelArrival("s", "a", 1_000, OLD),
                        new ModelArrival("s", "b", 6_000, OLD),
                        new ModelArrival("s", "c", 70, OLD)),
                Set.copyOf(ArrivalEstimator.estimate("s", state, loads)));
    }

    @Test
    void reportsKeepTheDemandOfAVersionApart() {
        NodeReports reports = NodeReports.create();
        ModelRef model = new ModelRef("a", "");
        ModelDemand anyVersion = new ModelDemand("s", model, 2, 1, 50, 3_000);
        ModelDemand oldOnly = new ModelDemand("s", model, 1, 0, 70, 3_000, OLD);
        reports.update("n1", List.of(), List.of(anyVersion, oldOnly), 0);
        reports.update("n2", List.of(), List.of(oldOnly), 0);
        List<FleetDemand> demands = reports.demands("s", 1);
        assertEquals(2, demands.size());
        assertTrue(demands.contains(new FleetDemand(model, 2, 70, 3_000, 0, OLD)));
        FleetDemand ofAny = demands.stream()
                .filter(demand -> demand.softwareVersion().isEmpty())
                .findFirst()
                .orElseThrow();
        assertEquals(2, ofAny.waiting());
    }
}
