package io.persimmonstack.node.planning;

import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Latest load reports of all nodes, collected by the leader. Outdated reports are ignored. Thread-safe. */
public final class NodeReports {
    /** Age up to which the last report of a node counts. */
    private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** Time without a report after which a node counts as silent. */
    private static final long SILENT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    /** Time without a report after which a node is no longer listed as silent. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private final Map<DemandKey, RateMeter> rateMeters = new HashMap<>();

    /** Sum of the usages of all reports that are kept. */
    private final RunnerLoads totalLoads = RunnerLoads.empty();

    /** Monotonic time before which none of the reports that are kept was received. */
    private long oldestNanos;

    /** One report; its loads are the sums of its usages. */
    private record Report(long receivedNanos, List<RunnerUsage> usages, RunnerLoads loads, List<ModelDemand> demands) {}

    private record DemandKey(String service, ModelRef model) {}

    /** Model or adapter, and the only software version that may serve the requests for it, if any. */
    private record DemandTarget(ModelRef model, Optional<String> softwareVersion) {}

    private NodeReports() {}

    /** Returns a collection without any reports. */
    public static NodeReports create() {
        return new NodeReports();
    }

    /**
     * Replaces the report of a node and adds the requests that arrived there to the request rates.
     *
     * @param node name of the node
     * @param usages requests of the node in progress at runners
     * @param demands demand for models at the node
     * @param nowNanos current monotonic time
     */
    public synchronized void update(String node, List<RunnerUsage> usages, List<ModelDemand> demands, long nowNanos) {
        lastReportNanos.put(node, nowNanos);
        Report report = new Report(nowNanos, List.copyOf(usages), RunnerLoads.of(usages), List.copyOf(demands));
        if (reports.isEmpty() || nowNanos - oldestNanos < 0) {
            oldestNanos = nowNanos;
        }
        Report before = reports.put(node, report);
        if (before != null) {
            totalLoads.remove(before.usages());
        }
        totalLoads.add(report.usages());
        for (ModelDemand demand : demands) {
            if (demand.softwareVersion().isPresent()) {
                continue;
            }
            rateMeters
                    .computeIfAbsent(new DemandKey(demand.service(), demand.model()), key -> new RateMeter())
                    .add(demand.arrived(), nowNanos);
        }
    }

    /** Returns the names of nodes that have recently stopped sending reports. */
    public synchronized Set<String> silentNodes(long nowNanos) {
        lastReportNanos.values().removeIf(receivedNanos -> nowNanos - receivedNanos > FORGET_NANOS);
        return lastReportNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() > SILENT_AFTER_NANOS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the load of each runner by the reports of all nodes except the given one. */
    synchronized Map<String, RunnerLoads.Load> loadsExcept(String node, long nowNanos) {
        dropOutdated(nowNanos);
        Report own = reports.get(node);
        return totalLoads.minus(own == null ? RunnerLoads.empty() : own.loads());
    }

    /** Returns the requests in progress at a runner by model or adapter, by the reports of all nodes. */
    synchronized Map<ModelRef, Integer> requestsByModel(String runner, long nowNanos) {
        dropOutdated(nowNanos);
        return totalLoads.requestsByModel(runner);
    }

    /** Drops outdated reports; looks through them only if there may be one. */
    private void dropOutdated(long nowNanos) {
        if (nowNanos - oldestNanos <= REPORT_VALID_NANOS) {
            return;
        }
        reports.values().removeIf(report -> {
            boolean outdated = nowNanos - report.receivedNanos() > REPORT_VALID_NANOS;
            if (outdated) {
                totalLoads.remove(report.usages());
            }
            return outdated;
        });
        oldestNanos = reports.values().stream()
                .map(Report::receivedNanos)
                .reduce(nowNanos, (one, other) -> one - other < 0 ? one : other);
    }

    /**
     * Returns the total demand of all nodes for each model and adapter of a service, without those that have neither
     * waiting requests nor a request rate. Requests that only one software version may serve are demand of their own.
     * Forgets rates that have decayed to 0.
     */
    synchronized List<FleetDemand> demands(String service, long nowNanos) {
        Map<DemandTarget, FleetDemand> totals = new HashMap<>();
        rateMeters.entrySet().removeIf(entry -> {
            if (!entry.getKey().service().equals(service)) {
                return false;
            }
            double perSecond = entry.getValue().perSecond(nowNanos);
            if (perSecond > 0) {
                ModelRef model = entry.getKey().model();
                totals.put(new DemandTarget(model, Optional.empty()), new FleetDemand(model, 0, 0, 0, perSecond));
            }
            return perSecond == 0;
        });
        reports.values().stream()
                .filter(report -> nowNanos - report.receivedNanos() <= REPORT_VALID_NANOS)
                .flatMap(report -> report.demands().stream())
                .filter(demand -> demand.service().equals(service) && demand.waiting() > 0)
                .forEach(demand -> totals.merge(
                        new DemandTarget(demand.model(), demand.softwareVersion()),
                        fleetDemand(demand),
                        FleetDemand::plus));
        return new ArrayList<>(totals.values());
    }

    /** Returns the waiting requests of one node; the request rates are metered over all nodes. */
    private static FleetDemand fleetDemand(ModelDemand demand) {
        return new FleetDemand(
                demand.model(),
                demand.waiting(),
                demand.oldestWaitMs(),
                demand.targetLatencyMs(),
                0,
                demand.softwareVersion());
    }
}
