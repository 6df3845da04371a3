package io.persimmonstack.router.admission;

import io.opentelemetry.context.Context;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.QueuedRequest.Decision;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.StreamOrigin;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.Target;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Admission control: decides which requests are sent to a target now, which wait, and which are refused. Thread-safe.
 */
public final class Admission implements AutoCloseable {
    private static final long ADMIT_INTERVAL_MS = 20;
    private static final long DEADLINE_MARGIN_MS = 5;
    private static final long MIN_RETRY_AFTER_MS = 250;

    /** Share of the mean service time that must be left before the deadline of a request that can be sent at once. */
    private static final double IDLE_SERVICE_TIME_FACTOR = 0.5;

    /** Multiple of the mean service time that a waiting request keeps in reserve before its deadline. */
    private static final double RESERVED_SERVICE_TIME_FACTOR = 1.2;

    private final FleetViews views;
    private final Placer placer;
    private final LoadRequester loadRequester;
    private final RouterMetrics metrics;
    private final int queueBound;
    private final Map<String, AdmissionQueue> queues = new ConcurrentHashMap<>();
    private final Thread ticker = Thread.ofVirtual().name("admission-ticker").unstarted(this::runTicker);

    private Admission(
            FleetViews views, Placer placer, LoadRequester loadRequester, RouterMetrics metrics, int queueBound) {
        this.views = views;
        this.placer = placer;
        this.loadRequester = loadRequester;
        this.metrics = metrics;
        this.queueBound = queueBound;
    }

    /**
     * Starts admission control.
     *
     * @param views holder of the current view of the fleet
     * @param placer chooses targets and reserves capacity there
     * @param loadRequester requests loads from coordinators
     * @param metrics where the gauge of the queue length is registered
     * @param queueBound most requests that may wait for one model, adapter or service
     * @return the running admission control
     */
    public static Admission start(
            FleetViews views, Placer placer, LoadRequester loadRequester, RouterMetrics metrics, int queueBound) {
        Admission admission = new Admission(views, placer, loadRequester, metrics, queueBound);
        placer.onRelease(admission::admitWaiting);
        views.onChange(admission::admitWaiting);
        metrics.gauge("queue.length", admission::waiting);
        admission.ticker.start();
        return admission;
    }

    /**
     * Refuses a request that is predicted to miss its deadline. This is checked before its idempotency key is claimed.
     * If no target has the model loaded, its load is requested all the same; with free capacity, one request every
     * 250 ms is let through as a probe. A stream that is to go on is refused if no target may go on with it.
     *
     * @param request request to check
     * @throws RefusalException if the predicted time to the answer exceeds the time left until the deadline
     */
    public void checkDeadline(Request request) throws RefusalException {
        TargetFilter filter = request.targetFilter().whileWaiting();
        AdmissionQueue queue = queue(request.work(), filter);
        FleetView view = views.current();
        List<Target> targets = placer.eligibleTargets(request.work(), view, filter);
        if (targets.isEmpty() && queue.isForBegunStreams()) {
            throw strandedRefusal(queue).exception();
        }
        double predictedMs = predictedMs(queue, request, targets, view);
        if (predictedMs <= request.remainingMs()) {
            return;
        }
        if (targets.isEmpty()) {
            requestLoadIfNeeded(queue, request.work(), request.trace());
        } else if (hasFreeCapacity(queue, request, targets) && queue.tryProbe(System.nanoTime())) {
            return;
        }
        throw deadlineRefusal(queue, request, predictedMs).exception();
    }

    /**
     * Reserves capacity at a target for a request, waiting for it if necessary.
     *
     * @param request request to admit
     * @return the reservation
     * @throws RefusalException if the deadline cannot be met, the queue is full, or a load that is needed is refused
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public Reservation admit(Request request) throws RefusalException, InterruptedException {
        TargetFilter filter = request.targetFilter().whileWaiting();
        AdmissionQueue queue = queue(request.work(), filter);
        if (queue.waiting() == 0) {
            Optional<Reservation> reservation = placer.reserve(request.work(), views.current(), filter);
            if (reservation.isPresent()) {
                return reservation.get();
            }
        }
        checkDeadline(request);
        return enqueue(queue, request);
    }

    private Reservation enqueue(AdmissionQueue queue, Request request) throws RefusalException, InterruptedException {
        QueuedRequest queued = QueuedRequest.of(request);
        Optional<QueuedRequest> evictedRequest = queue.offer(queued);
        evictedRequest.ifPresent(evicted -> evicted.decide(new Decision.Refused(overloadRefusal(queue, evicted))));
        requestLoadIfNeeded(queue, request.work(), request.trace());
        admitWaiting(queue);
        Decision decision;
        try {
            decision = queued.awaitDecision(
                    waitMs(queue, request), () -> new Decision.Refused(notAdmittedRefusal(queue, request)));
        } finally {
            queue.remove(queued);
        }
        return switch (decision) {
            case Decision.Admitted admitted -> admitted.reservation();
            case Decision.Refused refused -> throw refused.refusal().exception();
        };
    }

    /**
     * Requests a load if no target can do the work, or one more replica if more requests are waiting than the targets
     * may have in flight. A load may get any software version, so none is requested for streams that are to go on.
     */
    private void requestLoadIfNeeded(AdmissionQueue queue, Work work, Context trace) {
        if (queue.isForBegunStreams() || !(work instanceof Work.Completion completion)) {
            return;
        }
        List<Target> targets = placer.eligibleTargets(completion, views.current());
        boolean replicaNeeded =
                queue.waiting() > placer.capacity(targets) && queue.tryRequestReplica(System.nanoTime());
        if (targets.isEmpty() || replicaNeeded) {
            loadRequester.requestLoad(queue, completion, trace, targets.size() + 1);
        }
    }

    /**
     * Returns how long a request may wait for capacity, in milliseconds. If it were sent later, it would time out at
     * the target and use capacity that another request needs.
     */
    private static long waitMs(AdmissionQueue queue, Request request) {
        long reservedMs = Math.round(queue.serviceTime().meanMs() * RESERVED_SERVICE_TIME_FACTOR) + DEADLINE_MARGIN_MS;
        return Math.max(0, request.remainingMs() - reservedMs);
    }

    private Optional<Reservation> reserve(QueuedRequest queued) {
        return placer.reserve(queued.work(), views.current(), queued.filter());
    }

    /** Returns the predicted time in milliseconds until the request would be answered completely. */
    private double predictedMs(AdmissionQueue queue, Request request, List<Target> targets, FleetView view) {
        double serviceMs = queue.serviceTime().meanMs();
        if (targets.isEmpty()) {
            return predictedLoadMs(queue, request.work(), view) + serviceMs;
        }
        if (hasFreeCapacity(queue, request, targets)) {
            return serviceMs * IDLE_SERVICE_TIME_FACTOR;
        }
        int capacity = Math.max(1, placer.capacity(targets));
        return serviceMs * (queue.countAhead(request.priority()) + 1) / capacity + serviceMs;
    }

    /**
     * Returns whether the request could be sent at once: the targets have free capacity and no request is ahead of it.
     */
    private boolean hasFreeCapacity(AdmissionQueue queue, Request request, List<Target> targets) {
        int inFlight = targets.stream()
                .mapToInt(target -> placer.state(target).inFlightCount())
                .sum();
        return inFlight < placer.capacity(targets) && queue.countAhead(request.priority()) == 0;
    }

    /** Returns the predicted time in milliseconds until a model is loaded: from the view, else the measured mean. */
    private static double predictedLoadMs(AdmissionQueue queue, Work work, FleetView view) {
        return switch (work) {
            case Work.Completion completion ->
                view.readyInMs(completion.model().toString())
                        .orElse(Math.round(queue.loadTime().meanMs()));
            case Work.ServiceCall call -> 0;
        };
    }

    private Refusal deadlineRefusal(AdmissionQueue queue, Request request, double predictedMs) {
        String detail = "%s: answer predicted in %.0f ms; the deadline leaves %d ms"
                .formatted(queue.resourceName(), predictedMs, request.remainingMs());
        return Refusal.notRun(RefusalCode.DEADLINE, detail, MIN_RETRY_AFTER_MS + Math.round(predictedMs));
    }

    private Refusal notAdmittedRefusal(AdmissionQueue queue, Request request) {
        TargetFilter filter = request.targetFilter().whileWaiting();
        long retryAfterMs = retryAfterMs(queue, request.work(), filter, request.priority());
        boolean noTargets =
                placer.eligibleTargets(request.work(), views.current(), filter).isEmpty();
        if (noTargets) {
            return Refusal.notRun(
                    RefusalCode.NO_TARGET, queue.resourceName() + ": no target became ready in time", retryAfterMs);
        }
        return Refusal.notRun(
                RefusalCode.DEADLINE, queue.resourceName() + ": no place became free in time", retryAfterMs);
    }

    private Refusal overloadRefusal(AdmissionQueue queue, QueuedRequest evicted) {
        String detail = "%s: %d requests wait; one of priority %d gives way"
                .formatted(queue.resourceName(), queue.waiting(), evicted.priority());
        long retryAfterMs = retryAfterMs(queue, evicted.work(), evicted.filter(), evicted.priority());
        return Refusal.notRun(RefusalCode.OVERLOADED, detail, retryAfterMs);
    }

    /** Returns the refusal of streams that no target may go on with, so that waiting is of no use. */
    private static Refusal strandedRefusal(AdmissionQueue queue) {
        return Refusal.notRun(RefusalCode.NO_TARGET, queue.resourceName() + ": no target may go on with the stream");
    }

    /**
     * Returns a retry delay in milliseconds: the predicted time until a load in progress is complete and the waiting
     * requests of the given or a more urgent priority are served.
     */
    private long retryAfterMs(AdmissionQueue queue, Work work, TargetFilter filter, int priority) {
        FleetView view = views.current();
        List<Target> targets = placer.eligibleTargets(work, view, filter);
        double predictedLoadMs = targets.isEmpty() ? predictedLoadMs(queue, work, view) : 0;
        double queueMs =
                queue.serviceTime().meanMs() * (queue.countAhead(priority) + 1) / Math.max(1, placer.capacity(targets));
        return MIN_RETRY_AFTER_MS + Math.round(predictedLoadMs + queueMs);
    }

    /**
     * Records how long a target took to answer a request.
     *
     * @param work work that the target did
     * @param nanos time from dispatch to the end of the answer in nanoseconds
     */
    public void recordServiceTime(Work work, long nanos) {
        queue(work).serviceTime().add(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    /**
     * Returns the mean time that targets take to answer requests for the same model, adapter or service.
     *
     * @param work work to be done
     * @return milliseconds, 0 before the first answer
     */
    public double serviceMs(Work work) {
        return queue(work).serviceTime().meanMs();
    }

    private AdmissionQueue queue(Work work) {
        return queues.computeIfAbsent(
                work.resourceName(), resourceName -> new AdmissionQueue(resourceName, queueBound));
    }

    /** Returns the queue of the requests for the same work that the same targets may take. */
    private AdmissionQueue queue(Work work, TargetFilter filter) {
        AdmissionQueue queue = queue(work);
        return filter.origin().map(origin -> queueOfBegunStreams(queue, origin)).orElse(queue);
    }

    private AdmissionQueue queueOfBegunStreams(AdmissionQueue queue, StreamOrigin origin) {
        AdmissionQueue added = queue.forBegunStreams(origin, queueBound);
        AdmissionQueue present = queues.putIfAbsent(added.resourceName(), added);
        return present == null ? added : present;
    }

    private int waiting() {
        return queues.values().stream().mapToInt(AdmissionQueue::waiting).sum();
    }

    /**
     * Admits waiting requests of all queues while there is capacity, beginning with the queue whose head is most
     * urgent; among equally urgent ones, streams that are to go on come first.
     */
    void admitWaiting() {
        List<AdmissionQueue> nonEmptyQueues =
                queues.values().stream().filter(queue -> queue.waiting() > 0).toList();
        if (nonEmptyQueues.isEmpty()) {
            return;
        }
        nonEmptyQueues.stream()
                .sorted(Comparator.comparingInt(Admission::headPriority)
                        .thenComparing(queue -> !queue.isForBegunStreams()))
                .forEach(this::admitWaiting);
    }

    /** Admits waiting requests of a queue, and refuses streams that no target may go on with any more. */
    private void admitWaiting(AdmissionQueue queue) {
        queue.admitWaiting(this::reserve);
        if (queue.isForBegunStreams() && queue.head().filter(this::isStranded).isPresent()) {
            queue.refuseAll(strandedRefusal(queue));
        }
    }

    private boolean isStranded(QueuedRequest head) {
        return placer.eligibleTargets(head.work(), views.current(), head.filter())
                .isEmpty();
    }

    private static int headPriority(AdmissionQueue queue) {
        return queue.head().map(QueuedRequest::priority).orElse(Integer.MAX_VALUE);
    }

    private void runTicker() {
        try {
            while (true) {
                Thread.sleep(ADMIT_INTERVAL_MS);
                admitWaiting();
                queues.values().forEach(this::requestMissingLoad);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Requests a load for waiting requests, as part of the trace of the first of them: for those that began to wait
     * while an earlier load request was ending, or whose targets have gone.
     */
    private void requestMissingLoad(AdmissionQueue queue) {
        if (queue.waiting() > 0) {
            queue.head().ifPresent(head -> requestLoadIfNeeded(queue, head.work(), head.trace()));
        }
    }

    @Override
    public void close() {
        ticker.interrupt();
    }
}
