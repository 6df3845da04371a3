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

/** Counts the calls to the key-value service and keeps them within the node's limiter. */
final class KvCallGuard {
    private static final EventLog LOG = EventLog.of(KvCallGuard.class);
    private final CallRateLimiter readLimiter;
    private final CallRateLimiter writeLimiter;
    private final OutageBackoff backoff;
    private final long maxWaitNanos;
    private final MetricRegistry metrics;

    private KvCallGuard(
            CallRateLimiter readLimiter, CallRateLimiter writeLimiter, OutageBackoff backoff, long maxWaitNanos, MetricRegistry metrics) {
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

    void setCallsPerSecond(int readsPerSecond, int writesPerSecond) {
        readLimiter.setCallsPerSecond(readsPerSecond);
        writeLimiter.setCallsPerSecond(writesPerSecond);
    }

    void acquireRead(String kind, String key) throws KvUnavailableException {
        acquire(readLimiter, kind, key);
    }

    void acquireWrite(String kind, String key) throws KvUnavailableException {
        acquire(writeLimiter, kind, key);
    }

    Counter openWatches() {
        return metrics.counter("kv.watches.open");
    }

    /** Records an answer of the service, whatever it says. */
    void recordResponse() {
        backoff.recordSuccess();
    }

    /** Records that the service failed without effect. */
    KvUnavailableException recordUnavailable(String message, Throwable cause) {
        backoff.recordFailure();
        return newUnavailable(message, cause);
    }

    private KvUnavailableException newUnavailable(String message, Throwable cause) {
        metrics.counter("kv.unavailable").inc();
        return new KvUnavailableException(message, cause);
    }

    /** Records that the service failed and may have carried out the write. */
    KvAmbiguousException recordAmbiguous(String message, Throwable cause) {
        backoff.recordFailure();
        metrics.counter("kv.ambiguous").inc();
        return new KvAmbiguousException(message, cause);
    }

    private void acquire(CallRateLimiter limiter, String kind, String key) throws KvUnavailableException {
        if (!backoff.allowsCall()) {
            metrics.counter("kv.backoff.refused").inc();
            throw newUnavailable(kind + " '" + key + "': held back after failures in a row", null);
        }
        long waitNanos = limiter.reserve(maxWaitNanos);
        if (waitNanos < 0) {
            metrics.counter("kv.budget.refused").inc();
            LOG.write(BackendEvent.KV_BUDGET_SPENT, kind, key);
            throw newUnavailable(kind + " '" + key + "': the node's budget of calls is spent", null);
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
