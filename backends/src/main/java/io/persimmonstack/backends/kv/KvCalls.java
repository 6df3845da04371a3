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

/** Counts the calls to the key-value service and keeps them within the node's budget. */
final class KvCalls {
    private static final EventLog LOG = EventLog.of(KvCalls.class);
    private final CallBudget reads;
    private final CallBudget writes;
    private final OutageBackoff backoff;
    private final long maxWaitNanos;
    private final MetricRegistry metrics;

    private KvCalls(
            CallBudget reads, CallBudget writes, OutageBackoff backoff, long maxWaitNanos, MetricRegistry metrics) {
        this.backoff = backoff;
        this.reads = reads;
        this.writes = writes;
        this.maxWaitNanos = maxWaitNanos;
        this.metrics = metrics;
    }

    static KvCalls of(KvOptions options, MetricRegistry metrics) {
        TimeSource time = TimeSource.system();
        return new KvCalls(
                CallBudget.perSecond(options.readsPerSecond(), time),
                CallBudget.perSecond(options.writesPerSecond(), time),
                OutageBackoff.create(time, new SplittableRandom()),
                TimeUnit.MILLISECONDS.toNanos(options.budgetWaitMs()),
                metrics);
    }

    void perSecond(int readRate, int writeRate) {
        reads.perSecond(readRate);
        writes.perSecond(writeRate);
    }

    void beginRead(String kind, String key) throws KvUnavailableException {
        begin(reads, kind, key);
    }

    void beginWrite(String kind, String key) throws KvUnavailableException {
        begin(writes, kind, key);
    }

    Counter openWatches() {
        return metrics.counter("kv.watches.open");
    }

    /** Records an answer of the service, whatever it says. */
    void answered() {
        backoff.succeeded();
    }

    /** Records that the service failed without effect. */
    KvUnavailableException unavailable(String message, Throwable cause) {
        backoff.failed();
        return refused(message, cause);
    }

    private KvUnavailableException refused(String message, Throwable cause) {
        metrics.counter("kv.unavailable").inc();
        return new KvUnavailableException(message, cause);
    }

    /** Records that the service failed and may have carried out the write. */
    KvAmbiguousException ambiguous(String message, Throwable cause) {
        backoff.failed();
        metrics.counter("kv.ambiguous").inc();
        return new KvAmbiguousException(message, cause);
    }

    private void begin(CallBudget budget, String kind, String key) throws KvUnavailableException {
        if (!backoff.allowsCall()) {
            metrics.counter("kv.backoff.refused").inc();
            throw refused(kind + " '" + key + "': held back after failures in a row", null);
        }
        long waitNanos = budget.reserve(maxWaitNanos);
        if (waitNanos < 0) {
            metrics.counter("kv.budget.refused").inc();
            LOG.write(BackendEvent.KV_BUDGET_SPENT, kind, key);
            throw refused(kind + " '" + key + "': the node's budget of calls is spent", null);
        }
        try {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw refused(kind + " '" + key + "': interrupted", e);
        }
        metrics.counter("kv.calls." + kind).inc();
    }
}
