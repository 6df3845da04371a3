package io.persimmonstack.node.planning;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.NodeOptions;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.RetryBudgetOptions;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Planners of a node named {@code n1} for tests, with the runners of one service. */
final class PlannerFixture {
    static final PeerAddress ADDRESS = new PeerAddress("127.0.0.1", 1);

    private PlannerFixture() {}

    /** Returns a view of a fleet that serves one service on the given runners. */
    static FleetView fleet(Engine engine, List<Runner> runners) {
        RoutingTable routing =
                RoutingTable.of(1, List.of(), List.of(new Service("s", "/health", 10, Optional.of(engine))));
        Map<String, Runner> byId = runners.stream().collect(Collectors.toMap(Runner::id, Function.identity()));
        FleetView view = FleetView.create();
        view.update(fleet -> fleet.withRouting(routing).withRunners(byId, 1));
        return view;
    }

    /**
     * Starts a planner.
     *
     * @param fleet view of the runners and the configuration
     * @param reports load reports of all nodes
     * @param leadTerm returns the term of the node's leadership
     * @param orderPauseMs pause of a new leader before its first order, in milliseconds
     * @param control answers orders and status requests
     * @param threads runs each blocking call
     */
    static Planner start(
            FleetView fleet,
            NodeReports reports,
            Supplier<OptionalLong> leadTerm,
            long orderPauseMs,
            RunnerControl control,
            ExecutorService threads) {
        RetryBudgetOptions budget = new RetryBudgetOptions(0.2, 50, 1);
        NodeOptions options = new NodeOptions(
                "n1",
                "z",
                Map.of(),
                ADDRESS,
                ADDRESS,
                "c",
                "r/",
                budget,
                orderPauseMs,
                2_000,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new CapBounds(8_000, 0.1, 7_500),
                1_000);
        NodeMetrics metrics = NodeMetrics.in(new MetricRegistry());
        return Planner.start(fleet, reports, leadTerm, options, control, threads, metrics, cause -> {});
    }
}
