package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Collects the load of this node for its report to the leader: requests in progress at runners, demand for models, and
 * unreachable runners. Not thread-safe; guarded by the lock of {@link Placer}.
 */
final class LocalLoadCollector {
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    /** Requests that arrived since the last report. */
    private final Map<DemandKey, Integer> arrivalCounts = new HashMap<>();

    private final ArrivalRates arrivalRates = new ArrivalRates();
    private final ModelArrivalTracker modelArrivals;

    /**
     * Creates a collector that has counted no arrivals.
     *
     * @param modelArrivals refused requests whose callers are expected to retry
     */
    LocalLoadCollector(ModelArrivalTracker modelArrivals) {
        this.modelArrivals = modelArrivals;
    }

    /** Counts a request that has arrived at this node; one without a model is no demand. */
    void countArrival(ActiveRequest request, long nowNanos) {
        arrivalRates.count(request.service().name(), nowNanos);
        request.callerRequest()
                .model()
                .ifPresent(model -> arrivalCounts.merge(
                        new DemandKey(request.service().name(), model, Optional.empty()), 1, Integer::sum));
    }

    /** Returns how many requests a second for a service arrive at this node. */
    double arrivalsPerSecond(String service, long nowNanos) {
        return arrivalRates.perSecond(service, nowNanos);
    }

    /**
     * Returns the load of this node and resets the counts of arrived requests.
     *
     * @param trackers all runners
     * @param queue requests that wait for a runner
     * @param nowNanos current monotonic time
     */
    LocalLoad drain(Collection<RunnerLoadTracker> trackers, Collection<QueuedRequest> queue, long nowNanos) {
        List<RunnerUsage> usages = trackers.stream()
                .flatMap(tracker -> Stream.concat(tracker.usages().stream(), claimed(tracker, nowNanos)))
                .toList();
        List<String> unreachableRunners = trackers.stream()
                .filter(tracker -> tracker.isUnreachable(nowNanos))
                .map(tracker -> tracker.runner().id())
                .toList();
        return new LocalLoad(usages, drainDemand(trackers, queue, nowNanos), unreachableRunners);
    }

    /** Returns the memory that this node claims at a runner, as the usage of no request. */
    private static Stream<RunnerUsage> claimed(RunnerLoadTracker tracker, long nowNanos) {
        long tokens = tracker.memoryClaim().report(nowNanos);
        return tokens == 0
                ? Stream.empty()
                : Stream.of(new RunnerUsage(tracker.runner().id(), NO_MODEL, 0, tokens));
    }

    private List<ModelDemand> drainDemand(
            Collection<RunnerLoadTracker> trackers, Collection<QueuedRequest> queue, long nowNanos) {
        Map<DemandKey, List<WaitingSince>> requestsByKey = new HashMap<>();
        arrivalCounts.keySet().forEach(key -> requestsByKey.put(key, new ArrayList<>()));
        queue.forEach(queued -> queued.request()
                .callerRequest()
                .model()
                .ifPresent(
                        model -> addTo(requestsByKey, DemandKey.of(queued, model), WaitingSince.of(queued.request()))));
        modelArrivals.expectedRetries(nowNanos).stream()
                .filter(retry -> !isHeld(retry, trackers, nowNanos))
                .forEach(retry -> addTo(requestsByKey, retry.demand(), retry.since()));
        List<ModelDemand> demands = new ArrayList<>();
        requestsByKey.forEach((key, requests) -> demands.add(demand(key, requests, nowNanos)));
        arrivalCounts.clear();
        return demands;
    }

    /**
     * Returns whether the model of a refused request is available by now. Its expected retry then no longer counts as
     * demand, so that the model can be evicted for models that requests wait for.
     */
    private static boolean isHeld(
            ModelArrivalTracker.ExpectedRetry retry, Collection<RunnerLoadTracker> trackers, long nowNanos) {
        String service = retry.demand().service();
        RunnerFilter filter = retry.runnerFilter();
        return trackers.stream()
                .filter(tracker -> tracker.runner().service().equals(service))
                .filter(tracker -> filter.allowsVersionOf(tracker.runner()))
                .anyMatch(tracker -> !tracker.runner().leaving()
                        && tracker.holds(retry.demand().model(), nowNanos));
    }

    private static void addTo(Map<DemandKey, List<WaitingSince>> requestsByKey, DemandKey key, WaitingSince since) {
        requestsByKey.computeIfAbsent(key, ignored -> new ArrayList<>()).add(since);
    }

    private ModelDemand demand(DemandKey key, List<WaitingSince> requests, long nowNanos) {
        Optional<WaitingSince> oldest = requests.stream().min(Comparator.comparingLong(WaitingSince::receivedNanos));
        return new ModelDemand(
                key.service(),
                key.model(),
                requests.size(),
                arrivalCounts.getOrDefault(key, 0),
                oldest.map(request -> TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedNanos()))
                        .orElse(0L),
                oldest.map(request -> (long) request.targetLatencyMs()).orElse(0L),
                key.softwareVersion());
    }
}
