package io.persimmonstack.load;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of one kind of request and records the time to the first byte. Thread-safe. */
final class RequestStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;
    /** Largest value of the histogram; a longer time is recorded as this one. */
    private static final long MAX_RECORDED_MS = 3_600_000;

    private final LongAdder requests = new LongAdder();
    private final LongAdder complete = new LongAdder();
    private final LongAdder incorrect = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder notSent = new LongAdder();
    private final LongAdder late = new LongAdder();
    private final Map<String, LongAdder> refusals = new ConcurrentSkipListMap<>();
    private final Set<String> refusedAsNotRun = ConcurrentHashMap.newKeySet();
    private final Histogram firstByteMs = new ConcurrentHistogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

    /**
     * Counts one finished request.
     *
     * @param requestId identifier that the caller sent
     * @param outcome outcome of the request
     * @param isLate whether the outcome came later than the deadline plus an allowance for the round trip
     */
    void count(String requestId, RequestOutcome outcome, boolean isLate) {
        requests.increment();
        if (isLate) {
            late.increment();
        }
        switch (outcome) {
            case RequestOutcome.Complete answer -> {
                complete.increment();
                firstByteMs.recordValue(Math.min(MAX_RECORDED_MS, answer.firstByteMs()));
            }
            case RequestOutcome.Refused refused -> countRefusal(requestId, refused);
            case RequestOutcome.Incorrect ignored -> incorrect.increment();
            case RequestOutcome.Dropped ignored -> dropped.increment();
            case RequestOutcome.NotSent ignored -> notSent.increment();
        }
    }

    private void countRefusal(String requestId, RequestOutcome.Refused refused) {
        String refusalKey = refused.code() + " (ran: " + refused.ran() + ")";
        refusals.computeIfAbsent(refusalKey, ignored -> new LongAdder()).increment();
        if (refused.ran().equals("no")) {
            refusedAsNotRun.add(requestId);
        }
    }

    long requests() {
        return requests.sum();
    }

    long complete() {
        return complete.sum();
    }

    long incorrect() {
        return incorrect.sum();
    }

    long dropped() {
        return dropped.sum();
    }

    long notSent() {
        return notSent.sum();
    }

    long late() {
        return late.sum();
    }

    /** Returns the number of refusals by code and whether the request ran, in alphabetical order. */
    Map<String, LongAdder> refusals() {
        return refusals;
    }

    long refused() {
        return refusals.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Returns the identifiers of the requests whose refusal stated that they did not run. */
    Set<String> refusedAsNotRun() {
        return refusedAsNotRun;
    }

    /** Returns a percentile, 0 to 100, of the time to the first byte of complete answers, in milliseconds. */
    long firstBytePercentileMs(double percentile) {
        return firstByteMs.getValueAtPercentile(percentile);
    }
}
