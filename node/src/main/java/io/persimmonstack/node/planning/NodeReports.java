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
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Long> heardNanos = new HashMap<>();
    private final Map<DemandKey, RateMeter> meters = new HashMap<>();

    private record Report(long receivedNanos, List<RunnerUsage> uses, List<ModelDemand> demands) {}

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
     * @param uses its requests in progress
     * @param demands what its callers ask of models
     * @param nowNanos monotonic time
     */
    public synchronized void take(String node, List<RunnerUsage> uses, List<ModelDemand> demands, long nowNanos) {
        heardNanos.put(node, nowNanos);
        reports.put(node, new Report(nowNanos, List.copyOf(uses), List.copyOf(demands)));
        for (ModelDemand demand : demands) {
            meters.computeIfAbsent(new DemandKey(demand.service(), demand.model()), key -> new RateMeter())
                    .add(demand.arrived(), nowNanos);
        }
    }

    /** Returns the nodes that have reported and have stopped. */
    public synchronized Set<String> silent(long nowNanos) {
        heardNanos.values().removeIf(heard -> nowNanos - heard > FORGET_NANOS);
        return heardNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() > SILENT_NANOS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the requests in progress at each runner by the reports of all nodes but one, empty name for none. */
    synchronized List<RunnerUsage> usesExcept(String node, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.receivedNanos() > VALID_NANOS);
        return reports.entrySet().stream()
                .filter(report -> !report.getKey().equals(node))
                .map(report -> report.getValue().uses())
                .flatMap(Collection::stream)
                .toList();
    }

    /** Returns the demand of all nodes for the models of a service. */
    synchronized List<DemandState> demands(String service, long nowNanos) {
        Map<ModelRef, DemandState> sums = new HashMap<>();
        meters.forEach((key, meter) -> {
            if (key.service().equals(service)) {
                sums.put(key.model(), new DemandState(key.model(), 0, 0, 0, meter.perSecond(nowNanos)));
            }
        });
        reports.values().stream()
                .filter(report -> nowNanos - report.receivedNanos() <= VALID_NANOS)
                .flatMap(report -> report.demands().stream())
                .filter(demand -> demand.service().equals(service))
                .forEach(demand -> sums.computeIfPresent(demand.model(), (model, sum) -> add(sum, demand)));
        return new ArrayList<>(sums.values());
    }

    private static DemandState add(DemandState sum, ModelDemand demand) {
        return new DemandState(
                sum.model(),
                sum.waiting() + demand.waiting(),
                Math.max(sum.oldestMs(), demand.oldestMs()),
                Math.max(sum.targetMs(), demand.targetMs()),
                sum.perSecond());
    }
}
