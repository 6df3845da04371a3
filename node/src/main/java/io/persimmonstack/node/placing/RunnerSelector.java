package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects the runner for one request: the eligible runner at which it is expected to take the least time, by
 * {@link RunnerCost}.
 */
final class RunnerSelector {
    /** Share of the slots that new requests leave where the version is on its way out. */
    private static final double KEPT_SHARE = 0.1;
    /** Slots from which a runner keeps at least one. */
    private static final int MIN_SLOTS_TO_KEEP_ONE = 4;

    /** Number of nodes up to which each of them may choose among all runners. */
    private static final int MAX_NODES_FOR_FREE_CHOICE = 8;
    /** Smallest number of runners to choose among. */
    private static final int MIN_SAMPLE = 2;

    private final Service service;
    private final ZoneCost zones;
    private final int nodes;
    private final double arrivalsPerSecond;
    private final RandomGenerator random;
    private final long nowNanos;

    private RunnerSelector(
            Service service,
            ZoneCost zones,
            int nodes,
            double arrivalsPerSecond,
            RandomGenerator random,
            long nowNanos) {
        this.service = service;
        this.zones = zones;
        this.nodes = nodes;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.random = random;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns a selector.
     *
     * @param service service of the request
     * @param zone availability zone of this node
     * @param nodes number of nodes that send requests to the same runners
     * @param random source of the random choices
     * @param nowNanos monotonic time
     */
    static RunnerSelector of(Service service, String zone, int nodes, RandomGenerator random, long nowNanos) {
        return of(service, ZoneCost.preferring(zone), nodes, 0, random, nowNanos);
    }

    /**
     * Returns a selector.
     *
     * @param service service of the request
     * @param zones cost of runners in other zones
     * @param nodes number of nodes that send requests to the same runners
     * @param arrivalsPerSecond requests a second for the service that arrive at this node
     * @param random source of the random choices
     * @param nowNanos monotonic time
     */
    static RunnerSelector of(
            Service service,
            ZoneCost zones,
            int nodes,
            double arrivalsPerSecond,
            RandomGenerator random,
            long nowNanos) {
        return new RunnerSelector(service, zones, nodes, arrivalsPerSecond, random, nowNanos);
    }

    /**
     * Returns a cheap eligible runner with a free slot and enough memory, empty if there is none: the cheapest one or,
     * in a large fleet, the cheapest one of a random sample. The rest of a stream goes to a leaving runner only if no
     * other one can take it.
     *
     * @param trackers trackers of all runners of the service
     * @param requirements what the request requires of its runner
     */
    Optional<RunnerLoadTracker> choose(Collection<RunnerLoadTracker> trackers, Requirements requirements) {
        Optional<RunnerLoadTracker> open =
                cheapest(trackers, requirements, state -> state.exclusion().isEmpty());
        return open.isPresent() || requirements.isNew()
                ? open
                : cheapest(trackers, requirements, Availability.RestsOnly.class::isInstance);
    }

    private Optional<RunnerLoadTracker> cheapest(
            Collection<RunnerLoadTracker> trackers, Requirements requirements, Predicate<Availability> available) {
        MemoryRoom memory = memoryRoom(trackers);
        RunnerCost cost = cost();
        List<RunnerLoadTracker> eligible = trackers.stream()
                .filter(tracker -> available.test(tracker.availability(nowNanos)))
                .filter(tracker -> suits(tracker, requirements))
                .filter(tracker -> hasSlot(tracker, requirements))
                .filter(tracker ->
                        memory.fits(tracker, requirements.expectedTokens(), keepsShare(tracker, requirements)))
                .toList();
        if (eligible.isEmpty()) {
            memory.claim(requirements.expectedTokens());
        }
        return sample(eligible, requirements).stream()
                .min(Comparator.comparingDouble(tracker -> cost.of(tracker, requirements)));
    }

    private MemoryRoom memoryRoom(Collection<RunnerLoadTracker> trackers) {
        return MemoryRoom.of(service, trackers, nodes, arrivalsPerSecond, random, nowNanos);
    }

    private RunnerCost cost() {
        return RunnerCost.of(service, zones, nowNanos);
    }

    /**
     * Returns why a runner is not used for a new request, by the decisions of {@link #choose}; empty if it may be.
     * Changes nothing.
     *
     * @param tracker tracker of the runner
     * @param trackers trackers of all runners of the service
     * @param requirements what the request requires of its runner
     */
    Optional<RunnerExclusion> exclusion(
            RunnerLoadTracker tracker, Collection<RunnerLoadTracker> trackers, Requirements requirements) {
        return tracker.availability(nowNanos)
                .exclusion()
                .or(() -> unsuitable(tracker, requirements))
                .or(() -> hasSlot(tracker, requirements) ? Optional.empty() : Optional.of(RunnerExclusion.SLOTS))
                .or(() -> memoryRoom(trackers)
                        .exclusion(tracker, requirements.expectedTokens(), keepsShare(tracker, requirements)));
    }

    /** Returns the expected time of a request at a runner, by which runners are compared. */
    double cost(RunnerLoadTracker tracker, Requirements requirements) {
        return cost().of(tracker, requirements);
    }

    /** Returns the number of runners, of those that can take a request, among which the cheapest is chosen. */
    int sampleSize(int eligible) {
        int size = Math.max(MIN_SAMPLE, Math.ceilDiv(eligible * MAX_NODES_FOR_FREE_CHOICE, Math.max(1, nodes)));
        return Math.min(size, eligible);
    }

    /**
     * Returns the runners to choose among. Nodes learn of each other's requests with a delay: if all of many nodes
     * chose the cheapest runner meanwhile, they would overfill it. The runner that caches the prompt always belongs to
     * them.
     */
    private List<RunnerLoadTracker> sample(List<RunnerLoadTracker> eligible, Requirements requirements) {
        int size = sampleSize(eligible.size());
        if (size == eligible.size()) {
            return eligible;
        }
        List<RunnerLoadTracker> sample = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            sample.add(draw(eligible));
        }
        eligible.stream()
                .filter(tracker -> requirements.isPreferred(tracker.runner()))
                .forEach(sample::add);
        return sample;
    }

    /** Draws a runner at random, a faster one more often, since it answers more requests in the same time. */
    private RunnerLoadTracker draw(List<RunnerLoadTracker> eligible) {
        double total = 0;
        for (RunnerLoadTracker tracker : eligible) {
            total += 1 / tracker.pace();
        }
        double remaining = random.nextDouble() * total;
        for (RunnerLoadTracker tracker : eligible) {
            remaining -= 1 / tracker.pace();
            if (remaining < 0) {
                return tracker;
            }
        }
        return eligible.getLast();
    }

    /**
     * Returns the end of the earliest pause, by the monotonic clock, if all runners that can run the request have asked
     * for one; empty if there is no such runner or if another one may take it sooner.
     *
     * @param trackers trackers of all runners of the service
     * @param requirements what the request requires of its runner
     */
    OptionalLong quietUntilNanos(Collection<RunnerLoadTracker> trackers, Requirements requirements) {
        OptionalLong earliestNanos = OptionalLong.empty();
        for (RunnerLoadTracker tracker : trackers) {
            if (!suits(tracker, requirements)) {
                continue;
            }
            switch (tracker.availability(nowNanos)) {
                case Availability.Open open -> {
                    return OptionalLong.empty();
                }
                case Availability.BackingOff backingOff -> {
                    return OptionalLong.empty();
                }
                case Availability.Quiet quiet -> earliestNanos = earlier(earliestNanos, quiet.untilNanos());
                case Availability.RestsOnly restsOnly -> {
                    if (!requirements.isNew()) {
                        return OptionalLong.empty();
                    }
                }
                case Availability.Leaving leaving -> {}
            }
        }
        return earliestNanos;
    }

    private static OptionalLong earlier(OptionalLong oneNanos, long otherNanos) {
        return oneNanos.isPresent() && oneNanos.getAsLong() - otherNanos < 0 ? oneNanos : OptionalLong.of(otherNanos);
    }

    /**
     * What a request requires of its runner.
     *
     * @param model requested model, empty for services without models
     * @param expectedTokens estimated number of prompt and output tokens
     * @param runnerFilter runners that may take the request
     * @param preferredRunner identifier of the runner that probably caches the start of the prompt
     * @param promptTokens length of the prompt, 0 if it is not known
     * @param cachedTokens length of the start of the prompt that the preferred runner probably caches
     */
    record Requirements(
            Optional<ModelRef> model,
            long expectedTokens,
            RunnerFilter runnerFilter,
            Optional<String> preferredRunner,
            long promptTokens,
            long cachedTokens) {
        /** Creates the requirements of a request whose prompt has an unknown length. */
        Requirements(
                Optional<ModelRef> model,
                long expectedTokens,
                RunnerFilter runnerFilter,
                Optional<String> preferredRunner) {
            this(model, expectedTokens, runnerFilter, preferredRunner, 0, 0);
        }

        /** Returns whether the request is not the rest of a stream. */
        boolean isNew() {
            return runnerFilter.softwareVersion().isEmpty();
        }

        /** Returns whether a runner probably caches the start of the prompt. */
        boolean isPreferred(Runner runner) {
            return preferredRunner.filter(runner.id()::equals).isPresent();
        }

        /** Returns how much of the prompt a runner has to read, in tokens. */
        long tokensToRead(Runner runner) {
            return Math.max(0, isPreferred(runner) ? promptTokens - cachedTokens : promptTokens);
        }
    }

    /** Returns whether a runner, if it is available, can run the request. */
    boolean suits(RunnerLoadTracker tracker, Requirements requirements) {
        return unsuitable(tracker, requirements).isEmpty();
    }

    private Optional<RunnerExclusion> unsuitable(RunnerLoadTracker tracker, Requirements requirements) {
        if (!requirements.runnerFilter().allowsVersionOf(tracker.runner())) {
            return Optional.of(RunnerExclusion.VERSION);
        }
        if (!requirements.runnerFilter().allows(tracker.runner())) {
            return Optional.of(RunnerExclusion.TRIED);
        }
        boolean holds = requirements
                .model()
                .map(model -> tracker.holds(model, nowNanos))
                .orElse(true);
        return holds ? Optional.empty() : Optional.of(RunnerExclusion.MODEL);
    }

    /**
     * Returns whether new requests leave a share of a runner to the rest of streams, which has to go there, since its
     * version is on its way out.
     */
    private boolean keepsShare(RunnerLoadTracker tracker, Requirements requirements) {
        return requirements.isNew() && tracker.isOutgoing(nowNanos);
    }

    /** Returns whether a runner has a free slot; an idle one always has. */
    private boolean hasSlot(RunnerLoadTracker tracker, Requirements requirements) {
        if (tracker.totalRequests() == 0) {
            return true;
        }
        int slots = tracker.slotLimit(nowNanos);
        int kept =
                keepsShare(tracker, requirements) ? keptSlots(tracker.runner().slots()) : 0;
        return tracker.totalRequests() < slots - kept;
    }

    /** Returns the number of slots that new requests leave to the rest of streams: at least one, but not of a few. */
    private static int keptSlots(int slots) {
        return slots < MIN_SLOTS_TO_KEEP_ONE ? 0 : Math.max(1, (int) (slots * KEPT_SHARE));
    }
}
