package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
                listener.placed(cause(chosen.get().runner(), group));
                return chosen;
            }
        }
        return Optional.empty();
    }

    /** Returns the outlook of a new request by the decisions of {@link #choose}; changes nothing. */
    PlacementOutlook outlook(
            ActiveRequest request,
            RunnerSelector.Requirements requirements,
            Collection<RunnerLoadTracker> trackers,
            long nowNanos) {
        RunnerSelector selector = selector(request);
        ZoneRouter.Request described = describe(request, requirements, nowNanos);
        Map<RunnerLoadTracker, RunnerVerdict> verdicts = new LinkedHashMap<>();
        for (RunnerLoadTracker tracker : trackers) {
            verdicts.put(tracker, verdict(selector, tracker, trackers, requirements, described.bytes(), nowNanos));
        }
        List<ZoneRouter.Candidates> groups = router.map(decides -> decides.preview(
                        described, trackers, tracker -> selector.suits(tracker, requirements), nowNanos))
                .orElse(List.of(new ZoneRouter.Candidates(List.copyOf(trackers), ZoneCause.HOME)));
        Optional<ZoneRouter.Candidates> used = groups.stream()
                .filter(group -> group.trackers().stream()
                        .anyMatch(tracker -> verdicts.get(tracker).exclusion().isEmpty()))
                .findFirst();
        Set<RunnerLoadTracker> considered =
                new HashSet<>(used.or(() -> groups.stream().reduce((first, last) -> last))
                        .map(ZoneRouter.Candidates::trackers)
                        .orElse(List.of()));
        verdicts.replaceAll((tracker, verdict) -> verdict.exclusion().isPresent() || considered.contains(tracker)
                ? verdict
                : verdict.excludedBy(RunnerExclusion.ZONE));
        return outlook(verdicts.values(), used, selector);
    }

    private PlacementOutlook outlook(
            Collection<RunnerVerdict> verdicts, Optional<ZoneRouter.Candidates> used, RunnerSelector selector) {
        List<RunnerVerdict> ordered = verdicts.stream()
                .sorted(Comparator.comparing(
                                (RunnerVerdict verdict) -> verdict.exclusion().isPresent())
                        .thenComparingDouble(RunnerVerdict::cost)
                        .thenComparing(verdict -> verdict.runner().id()))
                .toList();
        List<RunnerVerdict> eligible = ordered.stream()
                .filter(verdict -> verdict.exclusion().isEmpty())
                .toList();
        Optional<RunnerVerdict> choice = eligible.stream().findFirst();
        Optional<ZoneCause> cause =
                choice.filter(chosen -> router.isPresent()).map(chosen -> cause(chosen.runner(), used.orElseThrow()));
        return new PlacementOutlook(
                ordered, choice, cause, selector.sampleSize(eligible.size()), Optional.empty(), OptionalLong.empty());
    }

    private RunnerVerdict verdict(
            RunnerSelector selector,
            RunnerLoadTracker tracker,
            Collection<RunnerLoadTracker> trackers,
            RunnerSelector.Requirements requirements,
            long bytes,
            long nowNanos) {
        OptionalLong pausedMs = tracker.availability(nowNanos) instanceof Availability.Quiet quiet
                ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(quiet.untilNanos() - nowNanos))
                : OptionalLong.empty();
        return new RunnerVerdict(
                tracker.runner(),
                selector.exclusion(tracker, trackers, requirements),
                pausedMs,
                tracker.totalRequests(),
                tracker.slotLimit(nowNanos),
                tracker.totalTokens(),
                tracker.pace(),
                router.map(decides -> decides.price(tracker.runner().zone(), bytes))
                        .orElse(0.0),
                selector.cost(tracker, requirements));
    }

    private ZoneCause cause(Runner chosen, ZoneRouter.Candidates group) {
        return chosen.zone().equals(zone) ? ZoneCause.HOME : group.cause();
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
