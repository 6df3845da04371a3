package io.persimmonstack.load.replay;

import java.util.Arrays;
import java.util.List;

/** Index from each arrival to the next one for the same model; only the clairvoyant policy may use it. */
final class NextArrivals {
    private static final int NO_ARRIVAL = -1;
    private final List<Arrival> arrivals;
    private final int[] nextIndex;

    private NextArrivals(List<Arrival> arrivals, int[] nextIndex) {
        this.arrivals = arrivals;
        this.nextIndex = nextIndex;
    }

    /** Indexes all arrivals of a trace. */
    static NextArrivals of(Trace trace) {
        int[] nextIndex = new int[trace.arrivals().size()];
        int[] nextIndexByModel = new int[trace.models().size()];
        Arrays.fill(nextIndexByModel, NO_ARRIVAL);
        for (int i = nextIndex.length - 1; i >= 0; i--) {
            int modelIndex = trace.arrivals().get(i).modelIndex();
            nextIndex[i] = nextIndexByModel[modelIndex];
            nextIndexByModel[modelIndex] = i;
        }
        return new NextArrivals(trace.arrivals(), nextIndex);
    }

    /** Returns the time of the next arrival for the same model, in milliseconds, or a time far beyond the trace. */
    long nextArrivalMs(int arrivalIndex) {
        return nextIndex[arrivalIndex] == NO_ARRIVAL
                ? Long.MAX_VALUE / 4
                : arrivals.get(nextIndex[arrivalIndex]).atMs();
    }

    /**
     * Returns the number of requests that would wait if the model were loaded at its next arrival: that arrival and
     * those for the same model within {@code burstMs} after it.
     */
    int nextBurstSize(int arrivalIndex, long burstMs) {
        int count = 0;
        int burstIndex = nextIndex[arrivalIndex];
        long endMs = burstIndex == NO_ARRIVAL ? 0 : arrivals.get(burstIndex).atMs() + burstMs;
        while (burstIndex != NO_ARRIVAL && arrivals.get(burstIndex).atMs() < endMs) {
            count++;
            burstIndex = nextIndex[burstIndex];
        }
        return count;
    }
}
