package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.pace.PaceRecorder;
import io.persimmonstack.node.pace.RunnerPace;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.RefusedException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Assigns requests to runners, or lets them wait in a {@link RequestQueue}. Thread-safe; only {@link #place} waits. */
public final class Placer {
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private final ReentrantLock lock = new ReentrantLock();
    private final RequestQueue queue = new RequestQueue();
    private final PromptAffinityCache promptAffinity = new PromptAffinityCache();
    private final ModelArrivalTracker modelArrivals = new ModelArrivalTracker();
    private final LocalLoadCollector loadCollector = new LocalLoadCollector(modelArrivals);
    private final FleetView fleet;
    private final RunnerLoadTrackers trackers;
    private final PaceRecorder paces = PaceRecorder.create();
    private final RunnerChooser chooser;
    private final TooLateChecks lateChecks;
    private volatile Runnable onQueued = () -> {};

    private Placer(FleetView fleet, String zone, Map<String, String> regions, ZoneListener listener) {
        this.fleet = fleet;
        this.trackers = RunnerLoadTrackers.of(fleet);
        this.lateChecks = new TooLateChecks(trackers, modelArrivals);
        this.chooser = RunnerChooser.of(fleet, zone, regions, listener, loadCollector);
    }

    /** Returns a placer for a node in the given availability zone that follows the runners of a fleet view. */
    public static Placer create(FleetView fleet, String zone) {
        return create(fleet, zone, Map.of(), ZoneListener.none());
    }

    /** Returns a placer that decides about leaving the zone if {@code regions} lists the region of several zones. */
    public static Placer create(FleetView fleet, String zone, Map<String, String> regions, ZoneListener listener) {
        Placer placer = new Placer(fleet, zone, regions, listener);
        fleet.onChange(placer::updateRunners);
        return placer;
    }

    /** Sets the action to run whenever a request is queued; it must not block. */
    public void onQueued(Runnable action) {
        onQueued = action;
    }

    /** Counts a request that has arrived at this node as demand for its model; to be called once for each. */
    public void recordArrival(ActiveRequest request) {
        lock.lock();
        try {
            loadCollector.countArrival(request, System.nanoTime());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Assigns a request to a runner; blocks until a runner can take it.
     *
     * @param request request to place
     * @param runnerFilter runners that may take it
     * @param deadlineNanos latest time to wait for a runner, by the monotonic clock
     * @return the placement, which the caller must close
     * @throws RefusedException if no runner takes the request or can load its model in time, or if this node stops
     * @throws InterruptedException if the thread is interrupted, because the request's caller has disconnected
     */
    public Placement place(ActiveRequest request, RunnerFilter runnerFilter, long deadlineNanos)
            throws RefusedException, InterruptedException {
        QueuedRequest queued = new QueuedRequest(request, runnerFilter, deadlineNanos);
        RequestRequirements.refuseIfTooLarge(request);
        submit(queued);
        if (!queued.result().isDone()) {
            onQueued.run();
        }
        return await(queued);
    }

    /** Places or refuses a request if that is possible at once; otherwise it waits in the queue. */
    void submit(QueuedRequest queued) {
        lock.lock();
        try {
            queue.add(queued);
            offerAllRunners(queue.groupOf(queued));
            if (queued.result().isDone()) {
                return;
            }
            lateChecks.refuseIfVersionGone(queued);
            lateChecks.refuseIfModelTooLate(queued);
            quietCheck().refuseIfTooLong(queued);
            if (queued.result().isDone()) {
                queue.remove(queued);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Assigns a request to a runner that has a free slot at present.
     *
     * @param request request to place
     * @param runnerFilter runners that may take it
     * @return the placement, which the caller must close; empty if no runner can take the request
     */
    public Optional<Placement> placeNow(ActiveRequest request, RunnerFilter runnerFilter) {
        lock.lock();
        try {
            return tryPlace(new QueuedRequest(request, runnerFilter, System.nanoTime()));
        } finally {
            lock.unlock();
        }
    }

    private Placement await(QueuedRequest queued) throws RefusedException, InterruptedException {
        try {
            return queued.result().get(queued.deadlineNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return resolveAfterTimeout(queued);
        } catch (ExecutionException e) {
            throw queued.refusal()
                    .orElseThrow(() -> new IllegalStateException(
                            "queued request ended with neither a placement nor a refusal", e));
        } catch (InterruptedException e) {
            // The request may have been placed at the same moment.
            dequeue(queued);
            queued.placement().ifPresent(Placement::close);
            throw e;
        }
    }

    /** Returns the placement if it was made at the moment of the timeout; otherwise refuses the request. */
    private Placement resolveAfterTimeout(QueuedRequest queued) throws RefusedException {
        dequeue(queued);
        if (queued.refusal().isPresent()) {
            throw queued.refusal().get();
        }
        if (queued.placement().isPresent()) {
            return queued.placement().get();
        }
        throw PlacementRefusals.noPlace(queued.request());
    }

    /** Removes a request from the queue; its result cannot change any more once this returns. */
    private void dequeue(QueuedRequest queued) {
        lock.lock();
        try {
            queue.remove(queued);
        } finally {
            lock.unlock();
        }
    }

    private Optional<Placement> tryPlace(QueuedRequest queued) {
        Collection<RunnerLoadTracker> all = runnersFor(queued);
        return tryPlace(queued, all, all);
    }

    private Optional<Placement> tryPlace(
            QueuedRequest queued, Collection<RunnerLoadTracker> all, Collection<RunnerLoadTracker> offered) {
        ActiveRequest request = queued.request();
        RunnerSelector.Requirements requirements = requirements(queued);
        return chooser.choose(request, requirements, all, offered, queue.all())
                .map(tracker -> occupySlot(tracker, queued, requirements));
    }

    private Collection<RunnerLoadTracker> runnersFor(QueuedRequest queued) {
        return trackers.ofService(queued.request().service().name());
    }

    private RunnerSelector.Requirements requirements(QueuedRequest queued) {
        return RequestRequirements.of(queued.request(), queued.runnerFilter(), promptAffinity);
    }

    /** Occupies a slot of a runner; closing the placement releases it and places queued requests. */
    private Placement occupySlot(
            RunnerLoadTracker tracker, QueuedRequest queued, RunnerSelector.Requirements requirements) {
        ActiveRequest request = queued.request();
        long expectedTokens = requirements.expectedTokens();
        ModelRef model = request.callerRequest().model().orElse(NO_MODEL);
        tracker.requestStarted(model, expectedTokens);
        promptAffinity.recordRunner(request.callerRequest(), tracker.runner().id());
        queue.recordPlaced(queued);
        return new Placement(
                tracker.runner(),
                requirements.tokensToRead(tracker.runner()),
                () -> releaseSlot(tracker, model, expectedTokens));
    }

    private void releaseSlot(RunnerLoadTracker tracker, ModelRef model, long expectedTokens) {
        lock.lock();
        try {
            tracker.requestEnded(model, expectedTokens);
            if (trackers.contains(tracker)) {
                offerRunner(tracker);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Offers one runner, which may have room now, to the queued requests that it can serve. */
    private void offerRunner(RunnerLoadTracker tracker) {
        long nowNanos = System.nanoTime();
        queue.offer(
                queue.groupsFor(tracker.runner(), tracker.models()),
                nowNanos,
                queued -> queued.tryComplete(() -> tryPlace(queued, runnersFor(queued), List.of(tracker))),
                () -> tracker.totalRequests() >= tracker.slotLimit(nowNanos));
    }

    /** Offers all runners to groups of queued requests, after a change that may concern any of the runners. */
    private void offerAllRunners(List<WaitingGroup> groups) {
        queue.offer(groups, System.nanoTime(), queued -> queued.tryComplete(() -> tryPlace(queued)), () -> false);
    }

    private void updateRunners() {
        lock.lock();
        try {
            trackers.update(System.nanoTime());
            offerAllRunners(queue.allGroups());
            refuseQueued(lateChecks::refuseIfVersionGone);
            refuseQueued(quietCheck()::refuseIfTooLong);
        } finally {
            lock.unlock();
        }
    }

    /** Applies the leader's snapshots of changed runners; returns whether this node knows all these processes. */
    public boolean applySnapshots(List<RunnerSnapshot> snapshots) {
        lock.lock();
        try {
            boolean allApplied = trackers.applySnapshots(snapshots, System.nanoTime());
            offerAllRunners(queue.allGroups());
            return allApplied;
        } finally {
            lock.unlock();
        }
    }

    /** Returns where the durations of answers are recorded, for the paces of the runners. */
    public PaceRecorder paces() {
        return paces;
    }

    /** Applies the leader's paces of runner processes; {@code all} if the other ones have a pace of 1. */
    public void applyPaces(List<RunnerPace> changed, boolean all) {
        lock.lock();
        try {
            trackers.applyPaces(changed, all);
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the estimates of when models become available; refuses requests whose model comes too late. */
    public void applyModelArrivals(List<ModelArrival> expected) {
        lock.lock();
        try {
            modelArrivals.update(expected, System.nanoTime());
            refuseQueued(lateChecks::refuseIfModelTooLate);
        } finally {
            lock.unlock();
        }
    }

    /** Applies a check that may refuse requests to all queued ones. */
    private void refuseQueued(Consumer<QueuedRequest> check) {
        List<QueuedRequest> waiting = List.copyOf(queue.all());
        waiting.forEach(check);
        waiting.stream().filter(queued -> queued.refusal().isPresent()).forEach(queue::remove);
    }

    private QuietCheck quietCheck() {
        return new QuietCheck(
                queued -> chooser.selector(queued.request())
                        .quietUntilNanos(
                                trackers.ofService(queued.request().service().name()), requirements(queued)),
                System.nanoTime());
    }

    /** Discards the snapshots of a silent leader, so that the runners' own entries in the store count. */
    public void discardSnapshots() {
        runLocked(() -> {
            trackers.discardSnapshots();
            offerAllRunners(queue.allGroups());
        });
    }

    /** Refuses the queued requests that may not stay, for a node that is shutting down. */
    public void refuseQueuedUnless(Predicate<ActiveRequest> mayStay) {
        refuseQueuedIf(request -> mayStay.test(request) ? Optional.empty() : Optional.of(PlacementRefusals.leaving()));
    }

    /** Refuses the queued requests for which there is a refusal. */
    public void refuseQueuedIf(Function<ActiveRequest, Optional<RefusedException>> refusal) {
        runLocked(() -> refuseQueued(queued -> refusal.apply(queued.request()).ifPresent(queued::refuse)));
    }

    /** Records that a runner lacks a model that it was reported to hold; it is briefly avoided for this model. */
    public void recordMissingModel(Runner runner, ModelRef model) {
        updateTracker(runner, tracker -> tracker.markModelMissing(model, System.nanoTime()));
    }

    /** Records that a runner rejected a request for lack of capacity; it is avoided briefly. */
    public void recordFull(Runner runner) {
        updateTracker(runner, tracker -> tracker.markFull(System.nanoTime()));
    }

    /** Records that a runner could not be reached; it is avoided for a while and reported to the leader. */
    public void recordUnreachable(Runner runner) {
        updateTracker(runner, tracker -> tracker.markUnreachable(System.nanoTime()));
    }

    /** Records that a runner broke off a request or answered with an error; this raises its cost. */
    public void recordFailure(Runner runner) {
        updateTracker(runner, tracker -> tracker.recordFailure(System.nanoTime()));
    }

    private void updateTracker(Runner runner, Consumer<RunnerLoadTracker> update) {
        runLocked(() -> trackers.ofProcess(runner).ifPresent(update));
    }

    /**
     * Tries to place the queued requests again, since runners that were to be avoided may be eligible by now, and those
     * that took the rest of streams may not be any more.
     */
    public void retryQueued() {
        runLocked(() -> {
            offerAllRunners(queue.allGroups());
            refuseQueued(lateChecks::refuseIfVersionGone);
        });
    }

    /** Returns where a new request would go now; changes nothing. */
    public PlacementOutlook outlook(ActiveRequest request) {
        return locked(() -> new PlacementExplainer(chooser, modelArrivals)
                .outlook(
                        request,
                        RequestRequirements.of(request, RunnerFilter.any(), promptAffinity.copy()),
                        trackers.ofService(request.service().name()),
                        System.nanoTime()));
    }

    /** Returns the number of queued requests. */
    public int queuedCount() {
        return locked(() -> queue.all().size());
    }

    /** Returns what waits in the queue, and what placing queued requests has cost. */
    public WaitingCounts waiting() {
        return locked(() -> queue.counts(System.nanoTime()));
    }

    /** Returns this node's load for its report to the leader, and resets the counts of arrived requests. */
    public LocalLoad drainLoad() {
        return locked(() -> loadCollector.drain(trackers.all(), queue.all(), System.nanoTime()));
    }

    private <T> T locked(Supplier<T> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }

    private void runLocked(Runnable action) {
        locked(() -> {
            action.run();
            return null;
        });
    }
}
