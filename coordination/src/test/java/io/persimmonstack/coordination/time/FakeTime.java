package io.persimmonstack.coordination.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Clocks that only a test advances: the wall clock and the monotonic clock tell the same time. */
public final class FakeTime implements TimeSource {
    private final LongSupplier nowNanos;

    private FakeTime(LongSupplier nowNanos) {
        this.nowNanos = nowNanos;
    }

    /** Returns clocks that tell the time of a supplier in milliseconds. */
    public static FakeTime ofMillis(LongSupplier nowMs) {
        return new FakeTime(() -> TimeUnit.MILLISECONDS.toNanos(nowMs.getAsLong()));
    }

    /** Returns clocks that tell the time of a supplier in nanoseconds. */
    public static FakeTime ofNanos(LongSupplier nowNanos) {
        return new FakeTime(nowNanos);
    }

    @Override
    public long nanoTime() {
        return nowNanos.getAsLong();
    }

    @Override
    public long currentTimeMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong());
    }
}
