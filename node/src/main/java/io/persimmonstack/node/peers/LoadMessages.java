package io.persimmonstack.node.peers;

import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.placing.LocalLoad;
import io.persimmonstack.node.placing.ModelArrival;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.RunnerSnapshot;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.HeldModel;
import io.persimmonstack.wire.gen.ModelNeed;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.RunnerHolding;
import io.persimmonstack.wire.gen.RunnerProcess;
import io.persimmonstack.wire.gen.RunnerUse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Converts between the node's types and the Thrift messages of the load exchange. */
final class LoadMessages {
    private LoadMessages() {}

    static NodeLoad toNodeLoad(
            String node, long sequence, FleetView view, SnapshotDeltas.AnswerId acknowledged, LocalLoad load) {
        Fleet fleet = view.current();
        NodeLoad message = new NodeLoad(
                node,
                sequence,
                fleet.routing().map(RoutingTable::version).orElse(0L),
                fleet.runnersRevision(),
                load.usages().stream().map(LoadMessages::toRunnerUse).toList(),
                load.demands().stream().map(LoadMessages::toModelNeed).toList(),
                load.unreachableRunners(),
                acknowledged.term(),
                acknowledged.number());
        message.setLeaving(toProcessMessages(view.leavingByOwnWord()));
        return message;
    }

    /** Returns the processes that, by the report of a node, have said that they are shutting down. */
    static List<io.persimmonstack.node.fleet.RunnerProcess> leaving(NodeLoad load) {
        return fromProcessMessages(load.getLeaving());
    }

    /** Returns the processes that, by the leader's answer, have said that they are shutting down. */
    static List<io.persimmonstack.node.fleet.RunnerProcess> leaving(FleetLoad load) {
        return fromProcessMessages(load.getLeaving());
    }

    private static List<RunnerProcess> toProcessMessages(List<io.persimmonstack.node.fleet.RunnerProcess> processes) {
        return processes.stream()
                .map(process -> new RunnerProcess(process.runner(), process.startedMs()))
                .toList();
    }

    /** Converts processes; a node of an earlier version sends none. */
    private static List<io.persimmonstack.node.fleet.RunnerProcess> fromProcessMessages(List<RunnerProcess> messages) {
        return messages == null
                ? List.of()
                : messages.stream()
                        .map(message -> new io.persimmonstack.node.fleet.RunnerProcess(
                                message.getRunner(), message.getStartedMs()))
                        .toList();
    }

    static SnapshotDeltas.AnswerId acknowledgedAnswer(NodeLoad load) {
        return new SnapshotDeltas.AnswerId(load.getAnswerTerm(), load.getAnswerNumber());
    }

    static SnapshotDeltas.AnswerId answerId(FleetLoad load) {
        return new SnapshotDeltas.AnswerId(load.getTerm(), load.getNumber());
    }

    static FleetLoad toFleetLoad(
            FleetView view, SnapshotDeltas.Delta delta, Set<String> silentNodes, List<ModelArrival> arrivals) {
        Fleet fleet = view.current();
        FleetLoad message = new FleetLoad(
                delta.answerId().term(),
                fleet.routing().map(RoutingTable::version).orElse(0L),
                fleet.runnersRevision(),
                delta.snapshots().stream().map(LoadMessages::toRunnerHolding).toList(),
                new ArrayList<>(silentNodes),
                arrivals.stream()
                        .filter(arrival -> arrival.softwareVersion().isEmpty())
                        .map(LoadMessages::toArrivalMessage)
                        .toList(),
                delta.answerId().number());
        message.setVersionArrivals(arrivals.stream()
                .filter(arrival -> arrival.softwareVersion().isPresent())
                .map(LoadMessages::toArrivalMessage)
                .toList());
        message.setLeaving(toProcessMessages(view.leavingByOwnWord()));
        return message;
    }

    static List<RunnerUsage> usages(NodeLoad load) {
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
                        need.getTargetMs(),
                        Optional.ofNullable(need.getSoftwareVersion())))
                .toList();
    }

    static List<RunnerSnapshot> snapshots(FleetLoad load) {
        return load.getRunners().stream()
                .map(holding -> new RunnerSnapshot(
                        holding.getRunner(),
                        holding.getStartedMs(),
                        Optional.ofNullable(holding.getModels())
                                .map(models -> models.stream()
                                        .map(LoadMessages::fromHeldModelMessage)
                                        .toList()),
                        holding.getRequestsElsewhere(),
                        holding.getTokensElsewhere()))
                .toList();
    }

    static List<ModelArrival> arrivals(FleetLoad load) {
        return Stream.of(Optional.of(load.getArrivals()), Optional.ofNullable(load.getVersionArrivals()))
                .flatMap(Optional::stream)
                .flatMap(List::stream)
                .map(arrival -> new ModelArrival(
                        arrival.getServiceName(),
                        arrival.getModel(),
                        arrival.getEarliestMs(),
                        Optional.ofNullable(arrival.getSoftwareVersion())))
                .toList();
    }

    private static io.persimmonstack.wire.gen.ModelArrival toArrivalMessage(ModelArrival arrival) {
        io.persimmonstack.wire.gen.ModelArrival message =
                new io.persimmonstack.wire.gen.ModelArrival(arrival.service(), arrival.model(), arrival.earliestMs());
        arrival.softwareVersion().ifPresent(message::setSoftwareVersion);
        return message;
    }

    private static RunnerUse toRunnerUse(RunnerUsage usage) {
        return new RunnerUse(
                usage.runner(), usage.model().model(), usage.model().adapter(), usage.requests(), usage.tokens());
    }

    private static ModelNeed toModelNeed(ModelDemand demand) {
        ModelNeed message = new ModelNeed(
                demand.service(),
                demand.model().model(),
                demand.model().adapter(),
                demand.waiting(),
                demand.arrived(),
                demand.oldestWaitMs(),
                demand.targetLatencyMs());
        demand.softwareVersion().ifPresent(message::setSoftwareVersion);
        return message;
    }

    private static RunnerHolding toRunnerHolding(RunnerSnapshot snapshot) {
        RunnerHolding holding = new RunnerHolding(
                snapshot.runner(), snapshot.startedMs(), snapshot.requestsElsewhere(), snapshot.tokensElsewhere());
        snapshot.models()
                .ifPresent(models -> holding.setModels(
                        models.stream().map(LoadMessages::toHeldModelMessage).toList()));
        return holding;
    }

    private static HeldModel toHeldModelMessage(io.persimmonstack.node.fleet.HeldModel model) {
        return new HeldModel(model.name(), model.version(), new ArrayList<>(model.adapters()));
    }

    private static io.persimmonstack.node.fleet.HeldModel fromHeldModelMessage(HeldModel model) {
        return new io.persimmonstack.node.fleet.HeldModel(
                model.getModel(), model.getVersion(), new HashSet<>(model.getAdapters()));
    }
}
