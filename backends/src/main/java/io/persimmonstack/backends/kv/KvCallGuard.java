package io.persimmonstack.backends.kv;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.runtime.event.EventLog;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Admits calls to the key-value service within the node's call budget and outside backoff periods, and counts them with
 * their failures. Thread-safe.
 */
final class KvCallGuard {
    private static final EventLog LOG = EventLog.of(KvCallGuard.class);
    private final CallRateLimiter readLimiter;
    private final CallRateLimiter writeLimiter;
    private final OutageBackoff backoff;
    private final long maxWaitNanos;
    private final MetricRegistry metrics;

    private KvCallGuard(
            CallRateLimiter readLimiter,
            CallRateLimiter writeLimiter,
            OutageBackoff backoff,
            long maxWaitNanos,
            MetricRegistry metrics) {
        this.backoff = backoff;
        this.readLimiter = readLimiter;
        this.writeLimiter = writeLimiter;
        this.maxWaitNanos = maxWaitNanos;
        this.metrics = metrics;
    }

    static KvCallGuard of(KvOptions options, MetricRegistry metrics) {
        TimeSource time = TimeSource.system();
        return new KvCallGuard(
                CallRateLimiter.ofCallsPerSecond(options.readsPerSecond(), time),
                CallRateLimiter.ofCallsPerSecond(options.writesPerSecond(), time),
                OutageBackoff.create(time, new SplittableRandom()),
                TimeUnit.MILLISECONDS.toNanos(options.budgetWaitMs()),
                metrics);
    }

    /** Changes the call budget of later calls. */
    void setCallsPerSecond(int readsPerSecond, int writesPerSecond) {
        readLimiter.setCallsPerSecond(readsPerSecond);
        writeLimiter.setCallsPerSecond(writesPerSecond);
    }

    /**
     * Waits until a read or a new watch may start.
     *
     * @param kind name of the call in metrics and messages
     * @param key key or prefix, for messages
     * @throws KvUnavailableException if the call is refused because of the budget or the backoff, or on interruption
     */
    void acquireRead(String kind, String key) throws KvUnavailableException {
        acquire(readLimiter, kind, key);
    }

    /**
     * Waits until a write may start.
     *
     * @param kind name of the call in metrics and messages
     * @param key key, for messages
     * @throws KvUnavailableException if the call is refused because of the budget or the backoff, or on interruption
     */
    void acquireWrite(String kind, String key) throws KvUnavailableException {
        acquire(writeLimiter, kind, key);
    }

    /** Returns the counter of open watches. */
    Counter openWatches() {
        return metrics.counter("kv.watches.open");
    }

    /** Records that the service responded, which ends a series of failures. */
    void recordResponse() {
        backoff.recordSuccess();
    }

    /** Records a failed call that had no effect, and returns the exception to throw. */
    KvUnavailableException recordUnavailable(String message, Throwable cause) {
        backoff.recordFailure();
        return newUnavailable(message, cause);
    }

    private KvUnavailableException newUnavailable(String message, Throwable cause) {
        metrics.counter("kv.unavailable").inc();
        return new KvUnavailableException(message, cause);
    }

    /** Records a failed write that may have taken effect, and returns the exception to throw. */
    KvAmbiguousException recordAmbiguous(String message, Throwable cause) {
        backoff.recordFailure();
        metrics.counter("kv.ambiguous").inc();
        return new KvAmbiguousException(message, cause);
    }

    private void acquire(CallRateLimiter limiter, String kind, String key) throws KvUnavailableException {
        if (!backoff.allowsCall()) {
            metrics.counter("kv.backoff.refused").inc();
            throw newUnavailable(kind + " '" + key + "': refused during the backoff after consecutive failures", null);
        }
        long waitNanos = limiter.reserve(maxWaitNanos);
        if (waitNanos < 0) {
            metrics.counter("kv.budget.refused").inc();
            LOG.write(BackendEvent.KV_BUDGET_SPENT, kind, key);
            throw newUnavailable(kind + " '" + key + "': the node's call budget is exhausted", null);
        }
        try {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw newUnavailable(kind + " '" + key + "': interrupted", e);
        }
        metrics.counter("kv.calls." + kind).inc();
    }
}
