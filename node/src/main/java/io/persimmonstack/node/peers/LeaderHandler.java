package io.persimmonstack.node.peers;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.pace.FleetPaces;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.planning.NodeReports;
import io.persimmonstack.node.planning.Planner;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Receives the load reports of all nodes while this node is the leader, and answers with the state of the runners. */
public final class LeaderHandler {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(LeaderHandler.class));
    private static final String NOT_LEADING = "not-leading";
    private final FleetView fleet;
    private final NodeReports reports;
    private final Planner planner;
    private final Supplier<OptionalLong> leadTerm;
    private final LoadExtension extension;
    private final SnapshotDeltas snapshotDeltas = new SnapshotDeltas();
    private final FleetPaces paces = FleetPaces.create();

    private LeaderHandler(
            FleetView fleet,
            NodeReports reports,
            Planner planner,
            Supplier<OptionalLong> leadTerm,
            LoadExtension extension) {
        this.extension = extension;
        this.fleet = fleet;
        this.reports = reports;
        this.planner = planner;
        this.leadTerm = leadTerm;
    }

    /**
     * Creates a handler.
     *
     * @param fleet view of the fleet
     * @param reports receives the reports
     * @param planner source of the runner states
     * @param leadTerm returns the term of this node's leadership, empty while it is not the leader
     * @param extension adds to the answers
     */
    public static LeaderHandler of(
            FleetView fleet,
            NodeReports reports,
            Planner planner,
            Supplier<OptionalLong> leadTerm,
            LoadExtension extension) {
        return new LeaderHandler(fleet, reports, planner, leadTerm, extension);
    }

    /**
     * Takes a load report and returns the load of the fleet.
     *
     * @throws WireRefusal if this node is not the leader
     */
    public FleetLoad exchange(NodeLoad load) throws WireRefusal {
        OptionalLong term = leadTerm.get();
        if (term.isEmpty()) {
            throw new WireRefusal(NOT_LEADING, "this node does not lead");
        }
        long nowNanos = System.nanoTime();
        reports.update(load.getNode(), LoadMessages.usages(load), configuredDemands(load), nowNanos);
        planner.suspect(load.getUnreachable());
        fleet.recordLeaving(LoadMessages.leaving(load), "node " + load.getNode());
        SnapshotDeltas.Delta delta = snapshotDeltas.deltaFor(
                load.getNode(),
                term.getAsLong(),
                LoadMessages.acknowledgedAnswer(load),
                planner.snapshotsFor(load.getNode()));
        FleetLoad answer = LoadMessages.toFleetLoad(fleet, delta, reports.silentNodes(nowNanos), planner.arrivals());
        paces.update(PaceMessages.paces(load), nowNanos);
        PaceMessages.addTo(
                answer,
                paces.changesFor(load.getNode(), LoadMessages.acknowledgedAnswer(load), delta.answerId(), nowNanos));
        paces.drainTransitions()
                .forEach(pace -> LOG.write(NodeEvent.RUNNER_PACE, pace.runner(), pace.startedMs(), pace.ratio()));
        extension.exchange(term.getAsLong(), load, answer);
        return answer;
    }

    /**
     * Returns the demand that a node reports for models of the configuration. Names that it lacks would be kept with
     * their rates, and callers can make nodes report as many of them as they like.
     */
    private List<ModelDemand> configuredDemands(NodeLoad load) {
        Optional<RoutingTable> routing = fleet.current().routing();
        return LoadMessages.demands(load).stream()
                .filter(demand -> routing.flatMap(known -> known.service(demand.service()))
                        .filter(service -> service.has(demand.model()))
                        .isPresent())
                .toList();
    }

    /** Returns the number of runner processes whose pace is not the usual one. */
    public int unusualPaces() {
        return paces.unusualCount();
    }
}
