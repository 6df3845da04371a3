package io.persimmonstack.router.admission;

import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Chooses targets for requests and reserves capacity there. Targets in this router's zone come first, then those in its
 * region, then all others. Among targets at the same distance, completions are ordered by rendezvous hash of model and
 * prompt prefix; targets that hold more than a bounded share of this router's requests come last. Service calls go to
 * the instance with the fewest requests in flight. Thread-safe.
 */
public final class Placer {
    /** Bound for the requests in flight at a target, relative to the mean over the targets at the same distance. */
    private static final double LOAD_BOUND_FACTOR = 1.25;

    private static final int SAME_ZONE = 0;
    private static final int SAME_REGION = 1;
    private static final int OTHER_REGION = 2;

    private final String zone;
    private final String region;
    private final Map<String, TargetState> states = new ConcurrentHashMap<>();
    private final List<Runnable> releaseListeners = new CopyOnWriteArrayList<>();

    private Placer(String zone, String region) {
        this.zone = zone;
        this.region = region;
    }

    /**
     * Creates a placer.
     *
     * @param zone availability zone of this router
     * @param region region of this router
     * @return the placer
     */
    public static Placer of(String zone, String region) {
        return new Placer(zone, region);
    }

    /** Registers a listener that runs after a reservation is released, on the thread that released it. */
    void onRelease(Runnable listener) {
        releaseListeners.add(listener);
    }

    /**
     * Returns the targets that can do the work: those that are not leaving and have the model and adapter loaded.
     *
     * @param work work to be done
     * @param view current view of the fleet
     * @return the targets, including those without free capacity
     */
    public List<Target> eligibleTargets(Work work, FleetView view) {
        long now = System.nanoTime();
        return targets(work, view).stream()
                .filter(target -> !target.leaving())
                .filter(target -> holds(target, work, now))
                .toList();
    }

    /**
     * Returns the targets that can do the work and may take the request.
     *
     * @param work work to be done
     * @param view current view of the fleet
     * @param filter targets that may take the request
     * @return the targets, including those without free capacity
     */
    public List<Target> eligibleTargets(Work work, FleetView view, TargetFilter filter) {
        return eligibleTargets(work, view).stream()
                .filter(target -> filter.admits(target, softwareVersion(target)))
                .toList();
    }

    /** Returns whether a target with the model has the adapter too, and has not reported that either is gone. */
    private boolean holds(Target target, Work work, long now) {
        return switch (work) {
            case Work.Completion completion ->
                completion.adapter().map(target.adapters()::contains).orElse(true)
                        && !state(target).lacks(completion.resourceName(), now);
            case Work.ServiceCall call -> true;
        };
    }

    /**
     * Reserves capacity at the best target that has any. Never blocks.
     *
     * @param work work to be done
     * @param view current view of the fleet
     * @param filter targets that may take the request
     * @return the reservation, or empty if no target has capacity
     */
    public Optional<Reservation> reserve(Work work, FleetView view, TargetFilter filter) {
        long now = System.nanoTime();
        List<Target> candidates = eligibleTargets(work, view, filter);
        if (!filter.failed().isEmpty()) {
            List<Target> inOtherZones = candidates.stream()
                    .filter(target -> !filter.avoidsZoneOf(target))
                    .toList();
            Optional<Reservation> elsewhere = reserveNearest(work, inOtherZones, now);
            if (elsewhere.isPresent()) {
                return elsewhere;
            }
        }
        return reserveNearest(work, candidates, now);
    }

    /**
     * Reserves capacity at a given target. Never blocks.
     *
     * @param target target to reserve capacity at
     * @return the reservation, or empty if the target has no capacity or gets no requests now
     */
    public Optional<Reservation> reserveAt(Target target) {
        TargetState state = state(target);
        return state.tryAcquire(System.nanoTime()) ? Optional.of(newReservation(target, state)) : Optional.empty();
    }

    /**
     * Returns whether a target that has had the request may take it again. A target that has left the view is judged by
     * what was known of it before.
     *
     * @param work work to be done
     * @param view current view of the fleet
     * @param filter targets that may take the request
     * @param target target of an earlier attempt, as an earlier view showed it
     */
    public boolean mayTakeAgain(Work work, FleetView view, TargetFilter filter, Target target) {
        Target current = targets(work, view).stream()
                .filter(other -> other.id().equals(target.id()))
                .findFirst()
                .orElse(target);
        return filter.admits(current, softwareVersion(current));
    }

    private static List<Target> targets(Work work, FleetView view) {
        return switch (work) {
            case Work.Completion completion ->
                view.modelTargets(completion.model().toString());
            case Work.ServiceCall call -> view.serviceTargets(call.service());
        };
    }

    private Optional<String> softwareVersion(Target target) {
        return state(target).softwareVersion(target);
    }

    private Optional<Reservation> reserveNearest(Work work, List<Target> candidates, long now) {
        for (int distance = SAME_ZONE; distance <= OTHER_REGION; distance++) {
            int currentDistance = distance;
            List<Target> group = candidates.stream()
                    .filter(target -> distance(target) == currentDistance)
                    .toList();
            Optional<Reservation> reserved = reserveAmong(work, group, now);
            if (reserved.isPresent()) {
                return reserved;
            }
        }
        return Optional.empty();
    }

    private int distance(Target target) {
        if (!target.region().equals(region)) {
            return OTHER_REGION;
        }
        return target.zone().equals(zone) ? SAME_ZONE : SAME_REGION;
    }

    /** Tries the targets in their order, first those below the load bound, then the others. */
    private Optional<Reservation> reserveAmong(Work work, List<Target> group, long now) {
        if (group.isEmpty()) {
            return Optional.empty();
        }
        List<Target> ranked = rank(work, group);
        int bound = loadBound(group);
        for (Target target : ranked) {
            TargetState state = state(target);
            if (state.inFlightCount() < bound && state.tryAcquire(now)) {
                return Optional.of(newReservation(target, state));
            }
        }
        for (Target target : ranked) {
            TargetState state = state(target);
            if (state.tryAcquire(now)) {
                return Optional.of(newReservation(target, state));
            }
        }
        return Optional.empty();
    }

    /** Returns the number of requests in flight from which on a target of the group is tried last. */
    private int loadBound(List<Target> group) {
        int total =
                group.stream().mapToInt(target -> state(target).inFlightCount()).sum();
        return (int) Math.ceil(LOAD_BOUND_FACTOR * (total + 1) / group.size());
    }

    /** Returns the targets in the order in which to try them. */
    private List<Target> rank(Work work, List<Target> group) {
        if (group.size() == 1) {
            return group;
        }
        List<Target> ranked = new ArrayList<>();
        switch (work) {
            case Work.Completion completion -> {
                String key = completion.resourceName() + '#' + completion.prefixHash();
                List<String> order = RendezvousHash.ranked(
                        key, group.stream().map(Target::id).toList());
                order.forEach(id -> group.stream()
                        .filter(t -> t.id().equals(id))
                        .findFirst()
                        .ifPresent(ranked::add));
            }
            case Work.ServiceCall call -> {
                ranked.addAll(group);
                ranked.sort(java.util.Comparator.comparingInt(
                        target -> state(target).inFlightCount()));
            }
        }
        return ranked;
    }

    private Reservation newReservation(Target target, TargetState state) {
        return new Reservation(target, state, () -> releaseListeners.forEach(Runnable::run));
    }

    /** Returns the state of a target, which is created when it is first asked for. */
    TargetState state(Target target) {
        return states.computeIfAbsent(target.id(), ignored -> new TargetState(target));
    }

    /**
     * Returns how many requests this router may have in flight at some targets together.
     *
     * @param targets targets to consider
     * @return sum of the limits of those that accept requests now, 0 if none does
     */
    int capacity(List<Target> targets) {
        long now = System.nanoTime();
        return targets.stream()
                .map(this::state)
                .filter(state -> state.acceptsWork(now))
                .mapToInt(TargetState::limit)
                .sum();
    }
}
