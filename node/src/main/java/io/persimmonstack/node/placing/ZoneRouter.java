package io.persimmonstack.node.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Decides for each request whether it stays in the zone of the node. It leaves if only runners in other zones can serve
 * it; if one of them caches so much of the prompt that this is worth the price; or, in the share that
 * {@link ZoneBalance} computes, if waiting here takes longer by more than the price. Which requests belong to the share
 * follows from their identifier, so that repeated decisions agree; one that has waited counts as belonging to a larger
 * share. Callers pass the time. Not thread-safe.
 */
final class ZoneRouter {
    /** Time that a request waits after which it leaves if that pays, whatever the share. */
    private static final double MAX_WAIT_MS = 200;
    /** Size of a usual request and its answer, for the price that the share is computed with. */
    private static final long USUAL_BYTES = 65_536;
    /** Bytes of an answer for each token: an event with its framing. */
    private static final long BYTES_PER_TOKEN = 100;
    /** Part of the price that a request of the share need not save: the share itself keeps the balance. */
    private static final double SLACK = 0.5;
    /** Utilisation of a zone from which on it has no room for requests of others. */
    private static final double MAX_UTILISATION = 0.95;
    /** Share from which on the first departures are reported; a few leave for a moment now and then. */
    private static final double REPORTED_START = 0.1;
    /** Change of the share that is reported. */
    private static final double REPORTED_CHANGE = 0.25;

    private final String home;
    private final ZonePrices prices;
    private final ZoneListener listener;
    private final ZoneLinks links = new ZoneLinks();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Boolean> cutZones = new HashMap<>();

    private static final class Service {
        private final ZoneBalance balance = new ZoneBalance();
        private double reportedShare;
    }

    /**
     * What the decision for a request rests on.
     *
     * @param service name of its service
     * @param position position among all requests by its identifier, from 0 to 1
     * @param waitedMs how long it has waited, in milliseconds
     * @param bytes size of its body and probable answer
     * @param savedTime time that the runner which probably caches the prompt saves, in units of the usual time
     * @param preferredRunner identifier of that runner
     */
    record Request(
            String service,
            double position,
            double waitedMs,
            long bytes,
            double savedTime,
            Optional<String> preferredRunner) {
        /** Returns the probable size of a request and its answer. */
        static long bytes(long bodyBytes, long outputTokens) {
            return bodyBytes + BYTES_PER_TOKEN * outputTokens;
        }
    }

    /**
     * Runners to choose among.
     *
     * @param trackers trackers of the runners
     * @param cause why they may be used
     */
    record Candidates(List<RunnerLoadTracker> trackers, ZoneCause cause) {}

    private ZoneRouter(String home, Map<String, String> regions, ZoneListener listener) {
        this.home = home;
        this.prices = ZonePrices.of(home, regions);
        this.listener = listener;
    }

    /**
     * Returns a router.
     *
     * @param home zone of the node
     * @param regions regions by zone
     * @param listener is told of the decisions
     */
    static ZoneRouter of(String home, Map<String, String> regions, ZoneListener listener) {
        return new ZoneRouter(home, regions, listener);
    }

    /** Returns whether the share of a service is to be updated. */
    boolean isDue(String service, long nowNanos) {
        return service(service).balance.isDue(nowNanos);
    }

    /**
     * Updates the share of the requests for a service that leave the zone.
     *
     * @param name name of the service
     * @param trackers trackers of its runners
     * @param waiting requests that wait in the zone for its runners, at all nodes
     * @param nowNanos monotonic time
     */
    void update(String name, Collection<RunnerLoadTracker> trackers, double waiting, long nowNanos) {
        Service service = service(name);
        List<RunnerLoadTracker> here = usable(trackers, this::isHome, nowNanos);
        ZoneLoad homeLoad = ZoneLoad.of(here, service.balance.meanWaiting(waiting, nowNanos));
        List<RunnerLoadTracker> others = lessLoaded(reachable(trackers, nowNanos), homeLoad);
        ZoneLoad awayLoad = ZoneLoad.of(others, 0);
        service.balance.update(homeLoad, awayLoad, cheapest(others, USUAL_BYTES), nowNanos);
        double share = service.balance.share();
        boolean startsOrEnds = service.reportedShare == 0 ? share >= REPORTED_START : share == 0;
        if (startsOrEnds || Math.abs(share - service.reportedShare) >= REPORTED_CHANGE) {
            service.reportedShare = share;
            listener.shareChanged(name, share, homeLoad.utilisation(), awayLoad.utilisation());
        }
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, ignored -> new Service());
    }

    /**
     * Returns the runners to choose among, in order: the first group with a runner that can take the request is used.
     *
     * @param request request to place
     * @param trackers trackers of all runners of its service
     * @param suitable whether a runner can serve the request, apart from its load
     * @param nowNanos monotonic time
     */
    List<Candidates> candidates(
            Request request,
            Collection<RunnerLoadTracker> trackers,
            Predicate<RunnerLoadTracker> suitable,
            long nowNanos) {
        return candidates(request, trackers, suitable, () -> reachable(trackers, nowNanos), nowNanos);
    }

    /** Returns what {@link #candidates} would return; changes nothing and tells the listener nothing. */
    List<Candidates> preview(
            Request request,
            Collection<RunnerLoadTracker> trackers,
            Predicate<RunnerLoadTracker> suitable,
            long nowNanos) {
        Supplier<List<RunnerLoadTracker>> reachable =
                () -> reachable(trackers, (zone, ofZone) -> links.wouldBeCut(zone, ofZone, nowNanos), nowNanos);
        return candidates(request, trackers, suitable, reachable, nowNanos);
    }

    /** Returns the price of sending a request to a zone. */
    double price(String zone, long bytes) {
        return zone.equals(home) ? 0 : prices.of(zone, bytes);
    }

    private List<Candidates> candidates(
            Request request,
            Collection<RunnerLoadTracker> trackers,
            Predicate<RunnerLoadTracker> suitable,
            Supplier<List<RunnerLoadTracker>> reachableRunners,
            long nowNanos) {
        List<RunnerLoadTracker> here = usable(trackers, tracker -> isHome(tracker) && suitable.test(tracker), nowNanos);
        if (here.isEmpty()) {
            return List.of(new Candidates(trackers.stream().toList(), ZoneCause.ONLY));
        }
        Candidates stay = new Candidates(here, ZoneCause.HOME);
        if (!belongsToShare(request) && request.preferredRunner().isEmpty()) {
            return List.of(stay);
        }
        List<RunnerLoadTracker> reachable =
                reachableRunners.get().stream().filter(suitable).toList();
        List<RunnerLoadTracker> there = lessLoaded(reachable, ZoneLoad.of(here, 0));
        List<RunnerLoadTracker> caching = reachable.stream()
                .filter(tracker -> isPreferred(tracker, request))
                .filter(tracker ->
                        request.savedTime() > prices.of(tracker.runner().zone(), request.bytes()) + tracker.pace() - 1)
                .toList();
        List<Candidates> candidates = new ArrayList<>();
        if (!caching.isEmpty()) {
            candidates.add(new Candidates(caching, ZoneCause.PROMPT));
        }
        if (!there.isEmpty() && leaves(request, here, there)) {
            candidates.add(new Candidates(there, ZoneCause.LOAD));
        }
        candidates.add(stay);
        return candidates;
    }

    private boolean leaves(Request request, List<RunnerLoadTracker> here, List<RunnerLoadTracker> there) {
        if (!belongsToShare(request)) {
            return false;
        }
        boolean cachedHere = here.stream().anyMatch(tracker -> isPreferred(tracker, request));
        double price = cheapest(there, request.bytes());
        double slack = request.position() < share(request.service()) ? SLACK * price : 0;
        double saved =
                ZoneLoad.of(here, 0).waitingTime() - ZoneLoad.of(there, 0).waitingTime();
        return saved > price - slack + (cachedHere ? request.savedTime() : 0);
    }

    private boolean belongsToShare(Request request) {
        return request.position() < share(request.service()) + request.waitedMs() / MAX_WAIT_MS;
    }

    private static boolean isPreferred(RunnerLoadTracker tracker, Request request) {
        return request.preferredRunner().filter(tracker.runner().id()::equals).isPresent();
    }

    private double cheapest(List<RunnerLoadTracker> others, long bytes) {
        return others.stream()
                .mapToDouble(tracker -> prices.of(tracker.runner().zone(), bytes))
                .min()
                .orElse(0);
    }

    /**
     * Returns the runners of the zones that have room and are less loaded than this one. A node does not know how many
     * requests wait in other zones; where all places are taken, probably as many wait as here.
     */
    private static List<RunnerLoadTracker> lessLoaded(List<RunnerLoadTracker> others, ZoneLoad home) {
        Map<String, List<RunnerLoadTracker>> byZone = others.stream()
                .collect(Collectors.groupingBy(tracker -> tracker.runner().zone()));
        double limit = Math.min(MAX_UTILISATION, home.utilisation());
        return byZone.values().stream()
                .filter(ofZone -> ZoneLoad.of(ofZone, 0).utilisation() < limit)
                .flatMap(List::stream)
                .toList();
    }

    private boolean isHome(RunnerLoadTracker tracker) {
        return tracker.runner().zone().equals(home);
    }

    /** Returns the usable runners in other zones to which the links work. */
    private List<RunnerLoadTracker> reachable(Collection<RunnerLoadTracker> trackers, long nowNanos) {
        return reachable(trackers, (zone, ofZone) -> observeLink(zone, ofZone, nowNanos), nowNanos);
    }

    private boolean observeLink(String zone, List<RunnerLoadTracker> ofZone, long nowNanos) {
        boolean cut = links.isCut(zone, ofZone, nowNanos);
        if (cutZones.put(zone, cut) == Boolean.TRUE != cut) {
            listener.linkChanged(zone, cut);
        }
        return cut;
    }

    private List<RunnerLoadTracker> reachable(
            Collection<RunnerLoadTracker> trackers, BiPredicate<String, List<RunnerLoadTracker>> isCut, long nowNanos) {
        Map<String, List<RunnerLoadTracker>> byZone = trackers.stream()
                .filter(tracker -> !isHome(tracker))
                .collect(Collectors.groupingBy(tracker -> tracker.runner().zone()));
        List<RunnerLoadTracker> reachable = new ArrayList<>();
        byZone.forEach((zone, ofZone) -> {
            if (!isCut.test(zone, ofZone)) {
                reachable.addAll(usable(ofZone, tracker -> true, nowNanos));
            }
        });
        return reachable;
    }

    /** Returns the runners that take requests; one that was full a moment ago is busy, not unusable. */
    private static List<RunnerLoadTracker> usable(
            Collection<RunnerLoadTracker> trackers, Predicate<RunnerLoadTracker> filter, long nowNanos) {
        return trackers.stream()
                .filter(filter)
                .filter(tracker -> switch (tracker.availability(nowNanos)) {
                    case Availability.Open open -> true;
                    case Availability.BackingOff backingOff -> !tracker.isUnreachable(nowNanos);
                    case Availability.Quiet quiet -> false;
                    case Availability.RestsOnly restsOnly -> false;
                    case Availability.Leaving leaving -> false;
                })
                .toList();
    }

    /** Returns the share of the requests for a service that leave the zone. */
    double share(String service) {
        return service(service).balance.share();
    }
}
