package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Selects the runner for one request: the eligible runner with the lowest cost. The cost is the utilisation of its
 * slots or its memory, whichever is higher, raised by recent failures and a different availability zone, and lowered if
 * the runner probably still caches the start of the prompt.
 */
final class RunnerSelector {
    /** Cost that each recent failure adds to a runner. */
    private static final double FAILURE_PENALTY = 0.5;
    /** Cost of a runner in another availability zone. */
    private static final double OTHER_ZONE_PENALTY = 0.02;

    /** Reduction of the cost of the runner that probably caches the start of the prompt. */
    private static final double PROMPT_AFFINITY_BONUS = 0.15;
    /** Share of the token cache that the requests at a runner may fill. */
    private static final double USABLE_MEMORY_SHARE = 0.92;

    /** Share of the slots and the token cache that new requests leave where the version is on its way out. */
    private static final double KEPT_SHARE = 0.1;
    /** Slots from which a runner keeps at least one. */
    private static final int MIN_SLOTS_TO_KEEP_ONE = 4;

    /** Number of nodes up to which each of them may choose among all runners. */
    private static final int MAX_NODES_FOR_FREE_CHOICE = 8;
    /** Smallest number of runners to choose among. */
    private static final int MIN_SAMPLE = 2;

    private final Service service;
    private final String zone;
    private final int nodes;
    private final RandomGenerator random;
    private final long nowNanos;

    private RunnerSelector(Service service, String zone, int nodes, RandomGenerator random, long nowNanos) {
        this.service = service;
        this.zone = zone;
        this.nodes = nodes;
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
        return new RunnerSelector(service, zone, nodes, random, nowNanos);
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
        Optional<RunnerLoadTracker> open = cheapest(trackers, requirements, Availability.Open.class);
        return open.isPresent() || requirements.isNew()
                ? open
                : cheapest(trackers, requirements, Availability.RestsOnly.class);
    }

    private Optional<RunnerLoadTracker> cheapest(
            Collection<RunnerLoadTracker> trackers,
            Requirements requirements,
            Class<? extends Availability> availability) {
        List<RunnerLoadTracker> eligible = trackers.stream()
                .filter(tracker -> availability.isInstance(tracker.availability(nowNanos)))
                .filter(tracker -> suits(tracker, requirements))
                .filter(tracker -> hasCapacity(tracker, requirements))
                .toList();
        return sample(eligible, requirements).stream()
                .min(Comparator.comparingDouble(tracker -> cost(tracker, requirements)));
    }

    /**
     * Returns the runners to choose among. Nodes learn of each other's requests with a delay: if all of many nodes
     * chose the cheapest runner meanwhile, they would overfill it. The runner that caches the prompt always belongs to
     * them.
     */
    private List<RunnerLoadTracker> sample(List<RunnerLoadTracker> eligible, Requirements requirements) {
        int size = Math.max(MIN_SAMPLE, Math.ceilDiv(eligible.size() * MAX_NODES_FOR_FREE_CHOICE, Math.max(1, nodes)));
        if (size >= eligible.size()) {
            return eligible;
        }
        List<RunnerLoadTracker> sample = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            sample.add(eligible.get(random.nextInt(eligible.size())));
        }
        eligible.stream().filter(tracker -> isPreferred(tracker, requirements)).forEach(sample::add);
        return sample;
    }

    private static boolean isPreferred(RunnerLoadTracker tracker, Requirements requirements) {
        return requirements
                .preferredRunner()
                .filter(tracker.runner().id()::equals)
                .isPresent();
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
     */
    record Requirements(
            Optional<ModelRef> model,
            long expectedTokens,
            RunnerFilter runnerFilter,
            Optional<String> preferredRunner) {
        /** Returns whether the request is not the rest of a stream. */
        boolean isNew() {
            return runnerFilter.softwareVersion().isEmpty();
        }
    }

    /** Returns whether a runner, if it is available, can run the request. */
    private boolean suits(RunnerLoadTracker tracker, Requirements requirements) {
        return requirements.runnerFilter().allows(tracker.runner())
                && requirements
                        .model()
                        .map(model -> tracker.holds(model, nowNanos))
                        .orElse(true);
    }

    /**
     * Returns whether a runner has a free slot and enough memory; an idle one takes a request of any size. Of a runner
     * whose version is on its way out, new requests leave a share to the rest of streams, which has to go there.
     */
    private boolean hasCapacity(RunnerLoadTracker tracker, Requirements requirements) {
        if (tracker.totalRequests() == 0) {
            return true;
        }
        boolean keepsShare = requirements.isNew() && tracker.isOutgoing(nowNanos);
        int slots = tracker.slotLimit(nowNanos);
        int usableSlots = keepsShare ? slots - keptSlots(tracker.runner().slots()) : slots;
        if (tracker.totalRequests() >= usableSlots) {
            return false;
        }
        long capacityTokens = service.engine().map(Engine::cacheTokens).orElse(Long.MAX_VALUE);
        double usableShare = keepsShare ? USABLE_MEMORY_SHARE * (1 - KEPT_SHARE) : USABLE_MEMORY_SHARE;
        return tracker.totalTokens() + requirements.expectedTokens() <= capacityTokens * usableShare;
    }

    /** Returns the number of slots that new requests leave to the rest of streams: at least one, but not of a few. */
    private static int keptSlots(int slots) {
        return slots < MIN_SLOTS_TO_KEEP_ONE ? 0 : Math.max(1, (int) (slots * KEPT_SHARE));
    }

    private double cost(RunnerLoadTracker tracker, Requirements requirements) {
        double slotUtilisation =
                (double) tracker.totalRequests() / Math.max(1, tracker.runner().slots());
        double memoryUtilisation = service.engine()
                .map(engine -> (double) tracker.totalTokens() / engine.cacheTokens())
                .orElse(0.0);
        double zonePenalty = tracker.runner().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        double affinityBonus = isPreferred(tracker, requirements) ? PROMPT_AFFINITY_BONUS : 0;
        return Math.max(slotUtilisation, memoryUtilisation)
                + FAILURE_PENALTY * tracker.recentFailures(nowNanos)
                + zonePenalty
                - affinityBonus;
    }
}
