package io.persimmonstack.backends;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.LinkLimits;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Counts and logs what listeners refuse of clients outside the limits. Thread-safe. */
public final class RefusedInputs {
    private static final EventLog LOG = EventLog.of(RefusedInputs.class);
    /** A crowd causes thousands of refusals a second, which one line a second describes well enough. */
    private static final long LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MetricRegistry registry;
    private final LongSupplier nanoTime;
    private final AtomicLong unreported = new AtomicLong();
    private final AtomicLong nextLineNanos;

    private RefusedInputs(MetricRegistry registry, LongSupplier nanoTime) {
        this.registry = registry;
        this.nanoTime = nanoTime;
        this.nextLineNanos = new AtomicLong(nanoTime.getAsLong());
    }

    /**
     * Returns a recorder.
     *
     * @param registry receives a counter {@code input.refused.REASON} for each reason
     */
    public static RefusedInputs of(MetricRegistry registry) {
        return new RefusedInputs(registry, System::nanoTime);
    }

    /** Returns a recorder with the given clock, in nanoseconds. */
    static RefusedInputs of(MetricRegistry registry, LongSupplier nanoTime) {
        return new RefusedInputs(registry, nanoTime);
    }

    /** Returns limits of a link that follow from the heap, and whose refusals are recorded here. */
    public LinkLimits linkLimits() {
        return LinkLimits.ofHeap(refusal -> record(refusal.reason()));
    }

    /**
     * Counts a refusal and logs it, with those since the last line, if that was long enough ago.
     *
     * @param reason word for the cause, such as {@code head-too-large}
     * @return whether a line was written
     */
    public boolean record(String reason) {
        registry.counter("input.refused." + reason).inc();
        unreported.incrementAndGet();
        long dueNanos = nextLineNanos.get();
        long nowNanos = nanoTime.getAsLong();
        if (nowNanos - dueNanos < 0 || !nextLineNanos.compareAndSet(dueNanos, nowNanos + LINE_INTERVAL_NANOS)) {
            return false;
        }
        LOG.write(BackendEvent.INPUT_REFUSED, unreported.getAndSet(0), reason);
        return true;
    }
}
