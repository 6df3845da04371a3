package io.persimmonstack.node.planning;

import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Latest reports of all nodes to the leader; one of a node that has fallen silent counts no more. */
public final class NodeReports {
    private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long SILENT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private final Map<DemandKey, RateMeter> rateMeters = new HashMap<>();

    private record Report(long receivedNanos, List<RunnerUsage> usages, List<ModelDemand> demands) {}

    private record DemandKey(String service, ModelRef model) {}

    private NodeReports() {}

    /** Returns an empty collection. */
    public static NodeReports none() {
        return new NodeReports();
    }

    /**
     * Takes the report of a node in place of its last one.
     *
     * @param node name of the node
     * @param usages its requests in progress
     * @param demands what its callers ask of models
     * @param nowNanos monotonic time
     */
    public synchronized void update(String node, List<RunnerUsage> usages, List<ModelDemand> demands, long nowNanos) {
        lastReportNanos.put(node, nowNanos);
        reports.put(node, new Report(nowNanos, List.copyOf(usages), List.copyOf(demands)));
        for (ModelDemand demand : demands) {
            rateMeters
                    .computeIfAbsent(new DemandKey(demand.service(), demand.model()), key -> new RateMeter())
                    .add(demand.arrived(), nowNanos);
        }
    }

    /** Returns the nodes that have reported and have stopped. */
    public synchronized Set<String> silentNodes(long nowNanos) {
        lastReportNanos.values().removeIf(receivedNanos -> nowNanos - receivedNanos > FORGET_NANOS);
        return lastReportNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() > SILENT_AFTER_NANOS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the requests in progress at each runner by the reports of all nodes but one, empty name for none. */
    synchronized List<RunnerUsage> usagesExcept(String node, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.receivedNanos() > REPORT_VALID_NANOS);
        return reports.entrySet().stream()
                .filter(report -> !report.getKey().equals(node))
                .map(report -> report.getValue().usages())
                .flatMap(Collection::stream)
                .toList();
    }

    /** Returns the demand of all nodes for the models of a service. */
    synchronized List<FleetDemand> demands(String service, long nowNanos) {
        Map<ModelRef, FleetDemand> totals = new HashMap<>();
        rateMeters.forEach((key, meter) -> {
            if (key.service().equals(service)) {
                totals.put(key.model(), new FleetDemand(key.model(), 0, 0, 0, meter.perSecond(nowNanos)));
            }
        });
        reports.values().stream()
                .filter(report -> nowNanos - report.receivedNanos() <= REPORT_VALID_NANOS)
                .flatMap(report -> report.demands().stream())
                .filter(demand -> demand.service().equals(service))
                .forEach(demand -> totals.computeIfPresent(demand.model(), (model, total) -> add(total, demand)));
        return new ArrayList<>(totals.values());
    }

    private static FleetDemand add(FleetDemand total, ModelDemand demand) {
        return new FleetDemand(
                total.model(),
                total.waiting() + demand.waiting(),
                Math.max(total.oldestWaitMs(), demand.oldestWaitMs()),
                Math.max(total.targetLatencyMs(), demand.targetLatencyMs()),
                total.perSecond());
    }
}
