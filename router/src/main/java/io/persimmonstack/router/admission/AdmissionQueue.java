package io.persimmonstack.router.admission;

import io.persimmonstack.router.admission.QueuedRequest.Decision;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.StreamOrigin;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/**
 * Waiting requests for one model, adapter or service, and the measured service and load times that wait predictions
 * use. Streams that are to go on wait apart, one queue for each origin, so that those without a free target do not hold
 * up requests that other targets may take. Thread-safe.
 */
final class AdmissionQueue {
    private static final long REPLICA_REQUEST_INTERVAL_NANOS = 1_000_000_000L;
    private static final long PROBE_INTERVAL_NANOS = 250_000_000L;
    private final String resourceName;
    private final ReentrantLock lock = new ReentrantLock();
    private final WaitQueue queue;
    private final boolean forBegunStreams;
    private final Ewma serviceTime;
    private final Ewma loadTime;
    private final AtomicBoolean loadRequestInFlight = new AtomicBoolean();
    private final AtomicLong lastReplicaRequestNanos = new AtomicLong();
    private final AtomicLong lastProbeNanos = new AtomicLong();
    private volatile int waiting;

    AdmissionQueue(String resourceName, int capacity) {
        this(resourceName, false, capacity, new Ewma(), new Ewma());
    }

    private AdmissionQueue(
            String resourceName, boolean forBegunStreams, int capacity, Ewma serviceTime, Ewma loadTime) {
        this.resourceName = resourceName;
        this.forBegunStreams = forBegunStreams;
        this.queue = WaitQueue.of(capacity);
        this.serviceTime = serviceTime;
        this.loadTime = loadTime;
    }

    /** Returns a queue for streams of one origin that are to go on, with the measured times of this queue. */
    AdmissionQueue forBegunStreams(StreamOrigin origin, int capacity) {
        return new AdmissionQueue(resourceName + " at " + origin.name(), true, capacity, serviceTime, loadTime);
    }

    /** Returns whether the requests are streams that are to go on where they began. */
    boolean isForBegunStreams() {
        return forBegunStreams;
    }

    String resourceName() {
        return resourceName;
    }

    /** Returns the number of waiting requests. Does not lock. */
    int waiting() {
        return waiting;
    }

    /** Returns the moving average of the time from dispatch to the end of the answer. */
    Ewma serviceTime() {
        return serviceTime;
    }

    /** Returns the moving average of the time from a load request to the first loaded target. */
    Ewma loadTime() {
        return loadTime;
    }

    /** Marks a load request as in flight; returns false if there already is one. */
    boolean tryBeginLoadRequest() {
        return loadRequestInFlight.compareAndSet(false, true);
    }

    /**
     * Returns whether a request that is predicted to miss its deadline may be sent nevertheless, at most once every
     * 250 ms, so that a wrong prediction is corrected by a new measurement.
     */
    boolean tryProbe(long nowNanos) {
        long last = lastProbeNanos.get();
        boolean due = last == 0 || nowNanos - last >= PROBE_INTERVAL_NANOS;
        return due && lastProbeNanos.compareAndSet(last, nowNanos);
    }

    /** Returns whether one more replica of a loaded model may be requested now: true at most once a second. */
    boolean tryRequestReplica(long nowNanos) {
        long last = lastReplicaRequestNanos.get();
        boolean due = last == 0 || nowNanos - last >= REPLICA_REQUEST_INTERVAL_NANOS;
        return due && lastReplicaRequestNanos.compareAndSet(last, nowNanos);
    }

    /** Ends the load request that {@link #tryBeginLoadRequest()} began. */
    void endLoadRequest() {
        loadRequestInFlight.set(false);
    }

    /** Returns how many requests of the given or a more urgent priority are waiting. */
    int countAhead(int priority) {
        if (waiting == 0) {
            return 0;
        }
        lock.lock();
        try {
            return queue.countAtOrAbove(priority);
        } finally {
            lock.unlock();
        }
    }

    /** Adds a request; returns the one that is evicted or rejected, possibly the same one, if the queue is full. */
    Optional<QueuedRequest> offer(QueuedRequest request) {
        lock.lock();
        try {
            Optional<QueuedRequest> displaced = queue.offer(request);
            waiting = queue.size();
            return displaced;
        } finally {
            lock.unlock();
        }
    }

    /** Removes a request if it is still in the queue. */
    void remove(QueuedRequest request) {
        lock.lock();
        try {
            queue.remove(request);
            waiting = queue.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the request to admit next. */
    Optional<QueuedRequest> head() {
        lock.lock();
        try {
            return queue.head();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Admits waiting requests in order until {@code reserve} finds no capacity. {@code reserve} is called with the
     * lock held and must not block.
     */
    void admitWaiting(Function<QueuedRequest, Optional<Reservation>> reserve) {
        List<Reservation> unusedReservations = new ArrayList<>();
        lock.lock();
        try {
            for (Optional<QueuedRequest> head = queue.head(); head.isPresent(); head = queue.head()) {
                if (head.get().isDecided()) {
                    queue.remove(head.get());
                } else if (!admit(head.get(), reserve.apply(head.get()), unusedReservations)) {
                    break;
                }
            }
        } finally {
            waiting = queue.size();
            lock.unlock();
        }
        unusedReservations.forEach(Reservation::close);
    }

    private boolean admit(QueuedRequest head, Optional<Reservation> reservation, List<Reservation> unusedReservations) {
        if (reservation.isEmpty()) {
            return false;
        }
        queue.removeHead();
        if (!head.decide(new Decision.Admitted(reservation.get()))) {
            unusedReservations.add(reservation.get());
        }
        return true;
    }

    /** Removes all waiting requests and refuses them. */
    void refuseAll(Refusal refusal) {
        List<QueuedRequest> all;
        lock.lock();
        try {
            all = queue.clear();
            waiting = 0;
        } finally {
            lock.unlock();
        }
        all.forEach(request -> request.decide(new Decision.Refused(refusal)));
    }
}
