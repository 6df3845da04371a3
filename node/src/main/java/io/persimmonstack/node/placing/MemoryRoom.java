package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Whether the cache of a runner has room for a request. A runner whose requests exceed its cache ends, and other nodes
 * may have sent requests that this one does not know of yet. Where the room is large enough for those as well, which is
 * so in a calm fleet, a request is sent at once. Otherwise the node first claims the room through the leader
 * ({@link MemoryClaim}), with the probability with which all nodes together claim as much as there is.
 */
final class MemoryRoom {
    /** Share of the token cache that the requests at a runner may fill, since token counts are estimates. */
    private static final double USABLE_SHARE = 0.92;
    /** Part of {@link #USABLE_SHARE} that new requests leave where the version is on its way out. */
    private static final double KEPT_SHARE = 0.1;
    /** Time until a node knows of a request: it is reported 4 times a second, and told with the next answer. */
    private static final double UNKNOWN_SECONDS = 0.4;
    /** Standard deviations by which unknown requests may exceed their expected number. */
    private static final double DEVIATIONS = 2;
    /** Factor for the size of the unknown requests, which varies. */
    private static final double SIZE_MARGIN = 1.3;

    /** Largest probability of a claim, so that a room that two nodes have claimed at once is claimed again by one. */
    private static final double MAX_CLAIM_PROBABILITY = 0.5;

    /** Claims of a node at the runners of a service at once: claimed room is lost to others until it is used. */
    private static final int MAX_OPEN_CLAIMS = 3;

    private final Collection<RunnerLoadTracker> trackers;
    private final long cacheTokens;
    private final int nodes;
    private final double usualStartsPerSecond;
    private final RandomGenerator random;
    private final long nowNanos;

    private Optional<RunnerLoadTracker> claimable = Optional.empty();
    private double claimableLeft = -1;

    private MemoryRoom(
            Collection<RunnerLoadTracker> trackers,
            long cacheTokens,
            int nodes,
            double usualStartsPerSecond,
            RandomGenerator random,
            long nowNanos) {
        this.trackers = trackers;
        this.cacheTokens = cacheTokens;
        this.nodes = nodes;
        this.usualStartsPerSecond = usualStartsPerSecond;
        this.random = random;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns the room in the caches of the runners of a service.
     *
     * @param service service of the runners
     * @param trackers trackers of all its runners
     * @param nodes number of nodes that send requests to the same runners
     * @param arrivalsPerSecond requests a second for the service that arrive at this node
     * @param random source of the random choices
     * @param nowNanos monotonic time
     */
    static MemoryRoom of(
            Service service,
            Collection<RunnerLoadTracker> trackers,
            int nodes,
            double arrivalsPerSecond,
            RandomGenerator random,
            long nowNanos) {
        double usualStartsPerSecond = arrivalsPerSecond * (nodes - 1) / Math.max(1, trackers.size());
        long cacheTokens = service.engine().map(Engine::cacheTokens).orElse(Long.MAX_VALUE);
        return new MemoryRoom(trackers, cacheTokens, nodes, usualStartsPerSecond, random, nowNanos);
    }

    /** Returns whether a request fits into the cache of an idle runner of a service. */
    static boolean fitsService(Service service, long expectedTokens) {
        return service.engine().map(Engine::cacheTokens).orElse(Long.MAX_VALUE) >= expectedTokens;
    }

    /** Whether there is room for a request. */
    private enum Room {
        ENOUGH,
        LACKING,
        /** There is room, but other nodes may use it at the same time. */
        SCARCE
    }

    /** Returns why a runner has no room for a request, empty if it has; changes nothing. */
    Optional<RunnerExclusion> exclusion(RunnerLoadTracker tracker, long expectedTokens, boolean keepsShare) {
        return switch (room(tracker, expectedTokens, keepsShare)) {
            case ENOUGH -> Optional.empty();
            case LACKING -> Optional.of(RunnerExclusion.MEMORY);
            case SCARCE -> Optional.of(RunnerExclusion.MEMORY_TO_CLAIM);
        };
    }

    private Room room(RunnerLoadTracker tracker, long expectedTokens, boolean keepsShare) {
        if (cacheTokens == Long.MAX_VALUE) {
            return Room.ENOUGH;
        }
        double left = left(tracker, expectedTokens, keepsShare);
        if (left < 0) {
            return Room.LACKING;
        }
        boolean safe = nodes <= 1
                || tracker.memoryClaim().isConfirmed(expectedTokens)
                || probability(tracker, expectedTokens, left) >= 1;
        return safe ? Room.ENOUGH : Room.SCARCE;
    }

    /** Returns the tokens of the cache that stay free with a request. */
    private double left(RunnerLoadTracker tracker, long expectedTokens, boolean keepsShare) {
        double share = keepsShare ? USABLE_SHARE * (1 - KEPT_SHARE) : USABLE_SHARE;
        double usable = tracker.totalRequests() == 0 ? cacheTokens : cacheTokens * share;
        return usable - tracker.totalTokens() - expectedTokens;
    }

    /**
     * Returns whether a runner has room for a request; an idle one has room for each that its cache can hold.
     *
     * @param tracker tracker of the runner
     * @param expectedTokens estimated number of tokens of the request
     * @param keepsShare whether the request has to leave a share of the cache free
     */
    boolean fits(RunnerLoadTracker tracker, long expectedTokens, boolean keepsShare) {
        return switch (room(tracker, expectedTokens, keepsShare)) {
            case ENOUGH -> true;
            case LACKING -> {
                tracker.memoryShare().markScarce(nowNanos);
                if (tracker.memoryClaim().isConfirmed(expectedTokens)) {
                    tracker.memoryClaim().withdraw();
                }
                yield false;
            }
            case SCARCE -> {
                drawClaim(tracker, expectedTokens, left(tracker, expectedTokens, keepsShare));
                yield false;
            }
        };
    }

    /** Draws whether scarce room may be claimed, and remembers the runner that has most of it. */
    private void drawClaim(RunnerLoadTracker tracker, long expectedTokens, double left) {
        double probability = probability(tracker, expectedTokens, left);
        if (tracker.memoryShare().draw(probability, random, nowNanos) && left > claimableLeft) {
            claimable = Optional.of(tracker);
            claimableLeft = left;
        }
    }

    /** Claims scarce room for a request that no runner has room for: at the runner that was found to have most left. */
    void claim(long expectedTokens) {
        long open = trackers.stream()
                .filter(tracker -> tracker.memoryClaim().isOpen(nowNanos))
                .count();
        if (claimable.isPresent() && open < MAX_OPEN_CLAIMS) {
            claimable.get().memoryShare().use();
            claimable.get().memoryClaim().make(expectedTokens, nowNanos);
        }
    }

    /** Returns the probability with which a node may use or claim room: 1 if there is enough for unknown requests. */
    private double probability(RunnerLoadTracker tracker, long expectedTokens, double left) {
        int slots = Math.max(1, tracker.runner().slots());
        double scarceSeconds = tracker.memoryShare().scarceSeconds(nowNanos);
        double startsPerSecond =
                Math.max(usualStartsPerSecond, tracker.elsewhere().startsPerSecond(nowNanos));
        double expected = startsPerSecond * (UNKNOWN_SECONDS + scarceSeconds);
        double unknown = expected + DEVIATIONS * Math.sqrt(expected);
        // A runner rejects what exceeds its slots; one of the free slots is for the request itself.
        double possible = Math.max(0, slots - tracker.totalRequests() - 1);
        double tokensOfOne = SIZE_MARGIN
                * Math.max(tracker.elsewhere().meanTokens(), Math.min(expectedTokens, (double) cacheTokens / slots));
        if (Math.min(possible, unknown) * tokensOfOne <= left) {
            return 1;
        }
        return Math.min(MAX_CLAIM_PROBABILITY, (left + expectedTokens) / (unknown * tokensOfOne));
    }
}
