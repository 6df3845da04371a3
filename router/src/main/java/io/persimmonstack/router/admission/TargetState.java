package io.persimmonstack.router.admission;

import io.persimmonstack.router.snapshot.Target;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * What this router has observed of a target, which is newer than any snapshot: its own requests in flight there, the
 * limit for them, the circuit breaker, and whether it reported that it is leaving, is full or lacks a model.
 * Thread-safe.
 */
public final class TargetState {
    private static final long LEAVING_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long FULL_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long ABSENT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int SUCCESSES_PER_LIMIT_INCREASE = 8;
    private static final long NEVER = Long.MIN_VALUE;

    private final String id;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger limit;
    private final AtomicInteger successesSinceLimitChange = new AtomicInteger();
    private final AtomicLong leavingSinceNanos = new AtomicLong(NEVER);
    private final AtomicLong fullSinceNanos = new AtomicLong(NEVER);
    private final AtomicLong lastSuccessNanos = new AtomicLong(NEVER);
    private final AtomicReference<ToldVersion> toldVersion = new AtomicReference<>();
    private final CircuitBreaker circuit = new CircuitBreaker();
    private final Map<String, Long> absentSinceNanos = new ConcurrentHashMap<>();

    /** Software version that an answer told while the view showed another one, or none. */
    private record ToldVersion(Optional<String> shown, String told) {}

    TargetState(Target target) {
        this.id = target.id();
        this.limit = new AtomicInteger(target.maxConcurrent());
    }

    /** Returns the name of the runner or service instance. */
    public String id() {
        return id;
    }

    /**
     * Records the software version that the target told in an answer.
     *
     * @param target the target as the view showed it when the request was sent
     * @param version version told, which is newer than the one in the view
     */
    public void recordSoftwareVersion(Target target, String version) {
        toldVersion.set(new ToldVersion(target.softwareVersion(), version));
    }

    /**
     * Returns the software version of the target: the one that it told last, until the view shows another than then.
     *
     * @param target the target as the view shows it
     * @return the version, empty if it is not known
     */
    public Optional<String> softwareVersion(Target target) {
        ToldVersion latest = toldVersion.get();
        boolean newerThanView = latest != null && latest.shown().equals(target.softwareVersion());
        return newerThanView ? Optional.of(latest.told()) : target.softwareVersion();
    }

    /** Returns how many requests this router has in flight at the target. */
    public int inFlightCount() {
        return inFlight.get();
    }

    /** Returns how many requests this router may have in flight at the target. */
    public int limit() {
        return limit.get();
    }

    /** Returns whether the target accepts requests and this router is below its limit there. */
    boolean hasCapacity(long nowNanos) {
        return acceptsWork(nowNanos) && inFlight.get() < limit.get();
    }

    /** Returns whether the circuit allows a request and the target has not reported recently that it is leaving. */
    boolean acceptsWork(long nowNanos) {
        return circuit.allowsRequest(nowNanos) && !isWithin(leavingSinceNanos, LEAVING_EXPIRY_NANOS, nowNanos);
    }

    /** Counts one more request in flight; returns false, without effect, if none may be sent now. */
    boolean tryAcquire(long nowNanos) {
        if (!hasCapacity(nowNanos) || isWithin(fullSinceNanos, FULL_EXPIRY_NANOS, nowNanos)) {
            return false;
        }
        int previous = inFlight.getAndUpdate(count -> count < limit.get() ? count + 1 : count);
        if (previous >= limit.get()) {
            return false;
        }
        if (!circuit.tryAcquire(nowNanos)) {
            inFlight.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Counts one request in flight less. */
    void release() {
        inFlight.decrementAndGet();
    }

    /**
     * Records a complete answer. Closes the circuit and raises a lowered limit by 1 after every 8 answers.
     *
     * @param maxConcurrent highest limit, as announced by the target
     */
    public void recordSuccess(int maxConcurrent) {
        circuit.recordSuccess();
        lastSuccessNanos.set(System.nanoTime());
        if (limit.get() < maxConcurrent
                && successesSinceLimitChange.incrementAndGet() >= SUCCESSES_PER_LIMIT_INCREASE) {
            successesSinceLimitChange.set(0);
            limit.updateAndGet(current -> Math.min(maxConcurrent, current + 1));
        }
    }

    /**
     * Records a failure.
     *
     * @param nowNanos current time on the clock of {@link System#nanoTime()}
     * @return period in milliseconds for which the circuit is now open, 0 if it is closed
     */
    public long recordFailure(long nowNanos) {
        return circuit.recordFailure(nowNanos);
    }

    /** Returns whether the target has given this router a complete answer since the given time. */
    boolean succeededSince(long nanos) {
        long last = lastSuccessNanos.get();
        return last != NEVER && last - nanos >= 0;
    }

    /** Returns the number of failures since the last complete answer. */
    public int consecutiveFailures() {
        return circuit.consecutiveFailures();
    }

    /**
     * Records that the target refused a request because it is full with the requests of all routers. Lowers the limit
     * below the current requests in flight, to no less than 1, and sends no requests for 20 ms.
     */
    public void markFull(long nowNanos) {
        fullSinceNanos.set(nowNanos);
        successesSinceLimitChange.set(0);
        limit.updateAndGet(current -> Math.max(1, Math.min(current - 1, inFlight.get() - 1)));
    }

    /** Records that the target reported that a model or adapter is not loaded; this expires after 2 s. */
    public void markAbsent(String resourceName, long nowNanos) {
        absentSinceNanos.put(resourceName, nowNanos);
    }

    /** Returns whether the target reported recently that a model or adapter is not loaded, whatever the view shows. */
    boolean lacks(String resourceName, long nowNanos) {
        Long markedNanos = absentSinceNanos.get(resourceName);
        if (markedNanos == null) {
            return false;
        }
        if (nowNanos - markedNanos < ABSENT_EXPIRY_NANOS) {
            return true;
        }
        absentSinceNanos.remove(resourceName, markedNanos);
        return false;
    }

    /** Records that the target reported that it is leaving; it gets no requests for 30 s. */
    public void markLeaving(long nowNanos) {
        leavingSinceNanos.set(nowNanos);
    }

    private static boolean isWithin(AtomicLong since, long expiryNanos, long nowNanos) {
        long markedNanos = since.get();
        return markedNanos != NEVER && nowNanos - markedNanos < expiryNanos;
    }
}
