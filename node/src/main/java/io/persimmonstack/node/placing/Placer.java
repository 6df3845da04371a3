package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.Jitter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Gives each request a place at a runner, or lets it wait for one in order of rank and age. */
public final class Placer {
    private static final long RETRY_AFTER_MS = 500;
    private static final ModelRef NO_MODEL = new ModelRef("", "");
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, RunnerBook> books = new HashMap<>();
    private final PriorityQueue<Waiter> waiters = new PriorityQueue<>();
    private final Map<DemandKey, Integer> arrivals = new HashMap<>();
    private final PromptKeepers keepers = new PromptKeepers();
    private final ArrivalBoard arrivalBoard = new ArrivalBoard();
    private final FleetView fleet;
    private final String zone;
    private volatile Runnable onWait = () -> {};

    private record DemandKey(String service, ModelRef model) {}

    private Placer(FleetView fleet, String zone) {
        this.fleet = fleet;
        this.zone = zone;
    }

    /**
     * Returns a placer that follows the runners of a view.
     *
     * @param fleet runners
     * @param zone availability zone of this node
     */
    public static Placer following(FleetView fleet, String zone) {
        Placer placer = new Placer(fleet, zone);
        fleet.onChange(placer::followFleet);
        return placer;
    }

    /** Sets what to do when a request begins to wait for a model; it must not block. */
    public void onWait(Runnable action) {
        onWait = action;
    }

    /**
     * Waits for a place.
     *
     * @param request request to place
     * @param excluded runners that it must not go to
     * @param untilNanos when waiting is in vain, by the monotonic clock
     * @return the place
     * @throws RefusedException if there is none in time
     * @throws InterruptedException if the caller has left
     */
    public Placement place(ActiveRequest request, Set<String> excluded, long untilNanos)
            throws RefusedException, InterruptedException {
        Waiter waiter = new Waiter(request, excluded, untilNanos);
        lock.lock();
        try {
            countArrival(request);
            Optional<Placement> placed = tryPlace(waiter);
            if (placed.isPresent()) {
                return placed.get();
            }
            refuseInVain(waiter);
            if (waiter.refusal().isPresent()) {
                throw waiter.refusal().get();
            }
            waiters.add(waiter);
        } finally {
            lock.unlock();
        }
        onWait.run();
        return await(waiter);
    }

    private Placement await(Waiter waiter) throws RefusedException, InterruptedException {
        try {
            return waiter.placed().get(waiter.untilNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return lastMoment(waiter);
        } catch (ExecutionException e) {
            throw waiter.refusal()
                    .orElseThrow(() -> new IllegalStateException("waiters end with a place or a refusal", e));
        } catch (InterruptedException e) {
            withdraw(waiter);
            throw e;
        }
    }

    private Placement lastMoment(Waiter waiter) throws RefusedException {
        remove(waiter);
        if (waiter.refusal().isPresent()) {
            throw waiter.refusal().get();
        }
        if (waiter.placement().isPresent()) {
            return waiter.placement().get();
        }
        ActiveRequest request = waiter.request();
        String detail =
                request.caller().model().map(model -> "no runner with " + model).orElse("no runner") + " in time";
        throw new RefusedException(Refusal.notRun("no-place", detail, Jitter.spread(RETRY_AFTER_MS)));
    }

    private void withdraw(Waiter waiter) {
        remove(waiter);
        waiter.placement().ifPresent(Placement::close);
    }

    /** Ends a wait; after this the request gets neither a place nor a refusal that it has not got yet. */
    private void remove(Waiter waiter) {
        lock.lock();
        try {
            waiters.remove(waiter);
        } finally {
            lock.unlock();
        }
    }

    private void countArrival(ActiveRequest request) {
        request.caller()
                .model()
                .ifPresent(
                        model -> arrivals.merge(new DemandKey(request.service().name(), model), 1, Integer::sum));
    }

    private Optional<Placement> tryPlace(Waiter waiter) {
        ActiveRequest request = waiter.request();
        long tokens = request.caller().tokens().likelyTotal();
        RunnerChoice.Wanted wanted = new RunnerChoice.Wanted(
                request.caller().model(), tokens, waiter.excluded(), keepers.keeper(request.caller()));
        return RunnerChoice.of(request.service(), zone, System.nanoTime())
                .choose(booksOf(request.service().name()), wanted)
                .map(book -> take(book, request, tokens));
    }

    private Collection<RunnerBook> booksOf(String service) {
        return books.values().stream()
                .filter(book -> book.runner().service().equals(service))
                .toList();
    }

    private Placement take(RunnerBook book, ActiveRequest request, long tokens) {
        ModelRef model = request.caller().model().orElse(NO_MODEL);
        book.begin(model, tokens);
        keepers.remember(request.caller(), book.runner().id());
        return new Placement(book.runner(), () -> release(book, model, tokens));
    }

    private void release(RunnerBook book, ModelRef model, long tokens) {
        lock.lock();
        try {
            book.end(model, tokens);
            placeWaiters();
        } finally {
            lock.unlock();
        }
    }

    /** Gives places to waiting requests in order; those that cannot be placed stay. */
    private void placeWaiters() {
        List<Waiter> inOrder = new ArrayList<>(waiters);
        inOrder.sort(null);
        for (Waiter waiter : inOrder) {
            tryPlace(waiter).ifPresent(placement -> {
                waiters.remove(waiter);
                if (!waiter.placed().complete(placement)) {
                    placement.close();
                }
            });
        }
    }

    private void followFleet() {
        lock.lock();
        try {
            Map<String, Runner> runners = fleet.current().runners();
            books.values().removeIf(book -> !runners.containsKey(book.runner().id()));
            runners.values()
                    .forEach(runner -> books.computeIfAbsent(runner.id(), id -> new RunnerBook(runner))
                            .describe(runner));
            placeWaiters();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes what the leader knows of the runners.
     *
     * @param reports reports of the runners that have changed
     * @return whether all of them are of runner processes that this node knows
     */
    public boolean takeReports(List<RunnerReport> reports) {
        lock.lock();
        try {
            boolean allKnown = true;
            for (RunnerReport report : reports) {
                RunnerBook book = books.get(report.runner());
                if (book != null && book.runner().startedMs() == report.startedMs()) {
                    book.report(report);
                } else {
                    allKnown = false;
                }
            }
            placeWaiters();
            return allKnown;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes when models may arrive, and refuses the requests that would wait for them in vain.
     *
     * @param expected models that requests wait for and that no runner holds
     */
    public void takeArrivals(List<ModelArrival> expected) {
        lock.lock();
        try {
            arrivalBoard.take(expected, System.nanoTime());
            List.copyOf(waiters).forEach(this::refuseInVain);
            waiters.removeIf(waiter -> waiter.refusal().isPresent());
        } finally {
            lock.unlock();
        }
    }

    /** Refuses a request whose model cannot be there in time; its caller is told when it may be. */
    private void refuseInVain(Waiter waiter) {
        ActiveRequest request = waiter.request();
        long now = System.nanoTime();
        arrivalBoard.inVainMs(request, waiter.untilNanos(), now).ifPresent(earliestMs -> {
            long retryAfterMs = Jitter.spread(earliestMs);
            arrivalBoard.refused(request, retryAfterMs, now);
            String detail = request.caller().model().orElse(NO_MODEL) + " is loaded in " + earliestMs + " ms or later";
            waiter.refuse(new RefusedException(Refusal.notRun("model-not-loaded", detail, retryAfterMs)));
        });
    }

    /** Falls back on the runners' own descriptions, for the leader has fallen silent. */
    public void forgetReports() {
        lock.lock();
        try {
            books.values().forEach(RunnerBook::forgetReport);
            placeWaiters();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Refuses the waiting requests that a leaving node does not take any more.
     *
     * @param stays whether a request may still be placed
     */
    public void refuseUnless(Predicate<ActiveRequest> stays) {
        lock.lock();
        try {
            List<Waiter> refused = waiters.stream()
                    .filter(waiter -> !stays.test(waiter.request()))
                    .toList();
            waiters.removeAll(refused);
            refused.forEach(waiter ->
                    waiter.refuse(new RefusedException(Refusal.notRun("leaving", "this node is about to end", 0))));
        } finally {
            lock.unlock();
        }
    }

    /** A runner turned out to lack a model. */
    public void lacks(Runner runner, ModelRef model) {
        observe(runner, book -> book.lacks(model, System.nanoTime()));
    }

    /** A runner turned out to have no room. */
    public void full(Runner runner) {
        observe(runner, book -> book.full(System.nanoTime()));
    }

    /** A runner could not be reached. */
    public void unreachable(Runner runner) {
        observe(runner, book -> book.unreachable(System.nanoTime()));
    }

    /** A runner broke off a request or reported an error of its own. */
    public void failed(Runner runner) {
        observe(runner, book -> book.failed(System.nanoTime()));
    }

    private void observe(Runner runner, Consumer<RunnerBook> observation) {
        lock.lock();
        try {
            RunnerBook book = books.get(runner.id());
            if (book != null && book.runner().isSameProcess(runner)) {
                observation.accept(book);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Tries again to place the waiting requests, for time has passed. */
    public void retryWaiting() {
        lock.lock();
        try {
            placeWaiters();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        lock.lock();
        try {
            return waiters.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns what this node tells the leader, and counts arrivals anew. */
    public LocalLoad takeLoad() {
        lock.lock();
        try {
            long now = System.nanoTime();
            List<RunnerUsage> uses = books.values().stream()
                    .flatMap(book -> book.usage().stream())
                    .toList();
            List<String> unreachable = books.values().stream()
                    .filter(book -> book.isUnreachable(now))
                    .map(book -> book.runner().id())
                    .toList();
            return new LocalLoad(uses, takeDemand(now), unreachable);
        } finally {
            lock.unlock();
        }
    }

    private List<ModelDemand> takeDemand(long now) {
        Map<DemandKey, List<ActiveRequest>> wanted = new HashMap<>();
        arrivals.keySet().forEach(key -> wanted.put(key, new ArrayList<>()));
        waiters.forEach(
                waiter -> waiter.request().caller().model().ifPresent(model -> addTo(wanted, waiter.request(), model)));
        arrivalBoard.returning(now).stream()
                .filter(returning -> !isHeld(returning, now))
                .forEach(returning -> addTo(wanted, returning.request(), returning.model()));
        List<ModelDemand> demand = new ArrayList<>();
        wanted.forEach((key, requests) -> demand.add(demand(key, requests, now)));
        arrivals.clear();
        return demand;
    }

    /** Returns whether callers that come back would find their model; what nobody waits for may make way for others. */
    private boolean isHeld(ArrivalBoard.Returning returning, long nowNanos) {
        return booksOf(returning.request().service().name()).stream()
                .anyMatch(book -> !book.runner().leaving() && book.holds(returning.model(), nowNanos));
    }

    private static void addTo(Map<DemandKey, List<ActiveRequest>> wanted, ActiveRequest request, ModelRef model) {
        DemandKey key = new DemandKey(request.service().name(), model);
        wanted.computeIfAbsent(key, ignored -> new ArrayList<>()).add(request);
    }

    private ModelDemand demand(DemandKey key, List<ActiveRequest> requests, long now) {
        Optional<ActiveRequest> oldest = requests.stream().min(Comparator.comparingLong(ActiveRequest::receivedNanos));
        return new ModelDemand(
                key.service(),
                key.model(),
                requests.size(),
                arrivals.getOrDefault(key, 0),
                oldest.map(request -> TimeUnit.NANOSECONDS.toMillis(now - request.receivedNanos()))
                        .orElse(0L),
                oldest.map(request -> (long) request.route().targetLatencyMs()).orElse(0L));
    }
}
