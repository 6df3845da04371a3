package io.persimmonstack.standin.kv;

import java.util.concurrent.TimeUnit;

/** Counts calls and tracks the highest number of calls in one clock second. Thread-safe. */
final class CallRateMeter {
    private long total;
    private long currentSecond;
    private long callsInSecond;
    private long peakPerSecond;

    synchronized void mark() {
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        callsInSecond = now == currentSecond ? callsInSecond + 1 : 1;
        currentSecond = now;
        peakPerSecond = Math.max(peakPerSecond, callsInSecond);
        total++;
    }

    synchronized long total() {
        return total;
    }

    synchronized long peakPerSecond() {
        return peakPerSecond;
    }
}
