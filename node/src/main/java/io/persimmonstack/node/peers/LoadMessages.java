package io.persimmonstack.node.peers;

import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.placing.LocalLoad;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.RunnerReport;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.HeldModel;
import io.persimmonstack.wire.gen.ModelNeed;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.RunnerHolding;
import io.persimmonstack.wire.gen.RunnerUse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Conversion between the node's types and the messages of the protocol. */
final class LoadMessages {
    private LoadMessages() {}

    static NodeLoad report(String node, long sequence, Fleet known, ToldReports.Answer has, LocalLoad load) {
        return new NodeLoad(
                node,
                sequence,
                known.routing().map(RoutingTable::version).orElse(0L),
                known.runnersRevision(),
                load.uses().stream().map(LoadMessages::use).toList(),
                load.demands().stream().map(LoadMessages::need).toList(),
                load.unreachable(),
                has.term(),
                has.number());
    }

    static ToldReports.Answer has(NodeLoad load) {
        return new ToldReports.Answer(load.getAnswerTerm(), load.getAnswerNumber());
    }

    static ToldReports.Answer answer(FleetLoad load) {
        return new ToldReports.Answer(load.getTerm(), load.getNumber());
    }

    static FleetLoad answer(
            Fleet known, ToldReports.Changes changes, Set<String> silentNodes, List<ModelArrival> arrivals) {
        return new FleetLoad(
                changes.answer().term(),
                known.routing().map(RoutingTable::version).orElse(0L),
                known.runnersRevision(),
                changes.reports().stream().map(LoadMessages::holding).toList(),
                new ArrayList<>(silentNodes),
                arrivals.stream().map(LoadMessages::arrival).toList(),
                changes.answer().number());
    }

    static List<RunnerUsage> uses(NodeLoad load) {
        return load.getUses().stream()
                .map(use -> new RunnerUsage(
                        use.getRunner(),
                        new ModelRef(use.getModel(), use.getAdapter()),
                        use.getRequests(),
                        use.getTokens()))
                .toList();
    }

    static List<ModelDemand> demands(NodeLoad load) {
        return load.getNeeds().stream()
                .map(need -> new ModelDemand(
                        need.getServiceName(),
                        new ModelRef(need.getModel(), need.getAdapter()),
                        need.getWaiting(),
                        need.getArrived(),
                        need.getOldestMs(),
                        need.getTargetMs()))
                .toList();
    }

    static List<RunnerReport> reports(FleetLoad load) {
        return load.getRunners().stream()
                .map(holding -> new RunnerReport(
                        holding.getRunner(),
                        holding.getStartedMs(),
                        Optional.ofNullable(holding.getModels())
                                .map(models ->
                                        models.stream().map(LoadMessages::held).toList()),
                        holding.getRequestsElsewhere(),
                        holding.getTokensElsewhere()))
                .toList();
    }

    static List<ModelArrival> arrivals(FleetLoad load) {
        return load.getArrivals().stream()
                .map(arrival -> new ModelArrival(arrival.getServiceName(), arrival.getModel(), arrival.getEarliestMs()))
                .toList();
    }

    private static io.persimmonstack.wire.gen.ModelArrival arrival(ModelArrival arrival) {
        return new io.persimmonstack.wire.gen.ModelArrival(arrival.service(), arrival.model(), arrival.earliestMs());
    }

    private static RunnerUse use(RunnerUsage usage) {
        return new RunnerUse(
                usage.runner(), usage.model().model(), usage.model().adapter(), usage.requests(), usage.tokens());
    }

    private static ModelNeed need(ModelDemand demand) {
        return new ModelNeed(
                demand.service(),
                demand.model().model(),
                demand.model().adapter(),
                demand.waiting(),
                demand.arrived(),
                demand.oldestMs(),
                demand.targetMs());
    }

    private static RunnerHolding holding(RunnerReport report) {
        RunnerHolding holding = new RunnerHolding(
                report.runner(), report.startedMs(), report.requestsElsewhere(), report.tokensElsewhere());
        report.models()
                .ifPresent(models -> holding.setModels(
                        models.stream().map(LoadMessages::held).toList()));
        return holding;
    }

    private static HeldModel held(io.persimmonstack.node.fleet.HeldModel model) {
        return new HeldModel(model.name(), model.version(), new ArrayList<>(model.adapters()));
    }

    private static io.persimmonstack.node.fleet.HeldModel held(HeldModel model) {
        return new io.persimmonstack.node.fleet.HeldModel(
                model.getModel(), model.getVersion(), new HashSet<>(model.getAdapters()));
    }
}
