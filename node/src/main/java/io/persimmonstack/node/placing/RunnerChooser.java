package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the zone and the runner of a request. Where the settings list only one zone, all runners are chosen among.
 * Not thread-safe; guarded by the lock of {@link Placer}.
 */
final class RunnerChooser {
    private static final double HASH_RANGE = 1L << Integer.SIZE;

    private final FleetView fleet;
    private final String zone;
    private final ZoneListener listener;
    private final Optional<ZoneRouter> router;
    private final LocalLoadCollector load;

    private RunnerChooser(
            FleetView fleet, String zone, ZoneListener listener, Optional<ZoneRouter> router, LocalLoadCollector load) {
        this.fleet = fleet;
        this.zone = zone;
        this.listener = listener;
        this.router = router;
        this.load = load;
    }

    /**
     * Returns a chooser.
     *
     * @param fleet tells the nodes of the fleet
     * @param zone zone of this node
     * @param regions regions by zone
     * @param listener is told of the decisions about zones
     * @param load tells how many requests arrive
     */
    static RunnerChooser of(
            FleetView fleet, String zone, Map<String, String> regions, ZoneListener listener, LocalLoadCollector load) {
        Optional<ZoneRouter> router =
                regions.size() > 1 ? Optional.of(ZoneRouter.of(zone, regions, listener)) : Optional.empty();
        return new RunnerChooser(fleet, zone, listener, router, load);
    }

    /** Returns the selector among runners for a request. */
    RunnerSelector selector(ActiveRequest request) {
        long nowNanos = System.nanoTime();
        double perSecond = load.arrivalsPerSecond(request.service().name(), nowNanos);
        int nodes = fleet.current().peers().size();
        return RunnerSelector.of(
                request.service(), ZoneCost.preferring(zone), nodes, perSecond, ThreadLocalRandom.current(), nowNanos);
    }

    /**
     * Returns a runner that can take a request now.
     *
     * @param request request to place
     * @param requirements what it requires of its runner
     * @param trackers trackers of all runners of its service, by which the zone is decided
     * @param offered those that may be chosen
     * @param queue requests that wait at this node
     */
    Optional<RunnerLoadTracker> choose(
            ActiveRequest request,
            RunnerSelector.Requirements requirements,
            Collection<RunnerLoadTracker> trackers,
            Collection<RunnerLoadTracker> offered,
            Collection<QueuedRequest> queue) {
        RunnerSelector selector = selector(request);
        if (router.isEmpty() || !requirements.isNew()) {
            // The rest of a stream has few runners to choose among, and its caller has part of the answer.
            return selector.choose(offered, requirements);
        }
        long nowNanos = System.nanoTime();
        update(request, trackers, queue, nowNanos);
        List<ZoneRouter.Candidates> groups = router.get()
                .candidates(
                        describe(request, requirements, nowNanos),
                        trackers,
                        tracker -> selector.suits(tracker, requirements),
                        nowNanos);
        for (ZoneRouter.Candidates group : groups) {
            Optional<RunnerLoadTracker> chosen =
                    selector.choose(common(group.trackers(), offered, trackers.size()), requirements);
            if (chosen.isPresent()) {
                listener.placed(chosen.get().runner().zone().equals(zone) ? ZoneCause.HOME : group.cause());
                return chosen;
            }
        }
        return Optional.empty();
    }

    private static Collection<RunnerLoadTracker> common(
            List<RunnerLoadTracker> group, Collection<RunnerLoadTracker> offered, int total) {
        return offered.size() == total
                ? group
                : offered.stream().filter(group::contains).toList();
    }

    /**
     * Updates the share that leaves the zone; the other nodes of the zone are assumed to have as many waiting. The
     * request that is being placed is not counted: it may find a place at once.
     */
    private void update(
            ActiveRequest placed,
            Collection<RunnerLoadTracker> trackers,
            Collection<QueuedRequest> queue,
            long nowNanos) {
        String service = placed.service().name();
        if (!router.get().isDue(service, nowNanos)) {
            return;
        }
        long waiting = queue.stream()
                .filter(queued -> queued.request() != placed)
                .filter(queued -> queued.request().service().name().equals(service))
                .filter(queued -> isServedHere(queued, trackers, nowNanos))
                .count();
        long nodes = fleet.current().peers().values().stream()
                .filter(peer -> peer.zone().equals(zone))
                .count();
        router.get().update(service, trackers, (double) waiting * Math.max(1, nodes), nowNanos);
    }

    /** Returns whether a request waits for a place in this zone, and not for its model to be loaded. */
    private boolean isServedHere(QueuedRequest queued, Collection<RunnerLoadTracker> trackers, long nowNanos) {
        return trackers.stream()
                .anyMatch(tracker -> tracker.runner().zone().equals(zone)
                        && queued.runnerFilter().allows(tracker.runner())
                        && queued.request()
                                .callerRequest()
                                .model()
                                .map(model -> tracker.holds(model, nowNanos))
                                .orElse(true));
    }

    private static ZoneRouter.Request describe(
            ActiveRequest request, RunnerSelector.Requirements requirements, long nowNanos) {
        CallerRequest caller = request.callerRequest();
        long outputTokens =
                Math.min(caller.tokens().maxOutput(), caller.tokens().likelyOutput());
        return new ZoneRouter.Request(
                request.service().name(),
                position(caller.id()),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedNanos()),
                ZoneRouter.Request.bytes(caller.body().length, outputTokens),
                RunnerCost.savedTime(requirements),
                requirements.preferredRunner());
    }

    /** Returns the position of an identifier between 0 and 1; similar identifiers have unrelated positions. */
    private static double position(String id) {
        int hash = id.hashCode() * 0x9E3779B9;
        hash = (hash ^ hash >>> 15) * 0x85EBCA6B;
        return Integer.toUnsignedLong(hash ^ hash >>> 13) / HASH_RANGE;
    }
}
