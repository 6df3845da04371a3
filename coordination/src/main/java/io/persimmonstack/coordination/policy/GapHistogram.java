package io.persimmonstack.coordination.policy;

import java.util.Arrays;

/**
 * Histogram of the gaps between requests of a session, with logarithmic bins and exponential decay: older gaps have
 * less weight. Each bin keeps the weight and the sum of its gaps, so that the expected idle time up to a bin boundary
 * is exact.
 */
final class GapHistogram {
    /** Enough bins for gaps up to {@link DemandHistory#SESSION_TIMEOUT_MS}. */
    static final int BINS = 44;

    private static final double BINS_PER_OCTAVE = 2.5;
    /** Weight that remains of older gaps with each new gap of a model. */
    private static final double MODEL_DECAY = 0.98;
    /** The same for the gaps of all models, which are more frequent. */
    private static final double FLEET_DECAY = 0.9995;

    private final double[] binWeight = new double[BINS];
    private final double[] binSumMs = new double[BINS];
    private final double decay;
    private double gapWeight;
    private double breakWeight;

    private GapHistogram(double decay) {
        this.decay = decay;
    }

    static GapHistogram forModel() {
        return new GapHistogram(MODEL_DECAY);
    }

    static GapHistogram forFleet() {
        return new GapHistogram(FLEET_DECAY);
    }

    /** Counts a gap between two requests of a session. */
    void add(long gapMs) {
        decayAll();
        int bin = binOf(gapMs);
        binWeight[bin] += 1;
        binSumMs[bin] += gapMs;
        gapWeight += 1;
    }

    /** Counts a break between two sessions, which no keep-alive within a session covers. */
    void addSessionBreak() {
        decayAll();
        breakWeight += 1;
    }

    /** Returns the weight of all gaps within sessions and breaks between them. */
    double totalWeight() {
        return gapWeight + breakWeight;
    }

    /** Returns the weight of the gaps within sessions. */
    double gapWeight() {
        return gapWeight;
    }

    /** Returns the weighted sum of the gaps within sessions, in milliseconds. */
    double gapSumMs() {
        return Arrays.stream(binSumMs).sum();
    }

    double binWeight(int bin) {
        return binWeight[bin];
    }

    double binSumMs(int bin) {
        return binSumMs[bin];
    }

    /** Returns the upper bound of a bin in milliseconds; a keep-alive of this length covers the gaps of the bin. */
    static long upperBoundMs(int bin) {
        return (long) Math.ceil(Math.pow(2, (bin + 1) / BINS_PER_OCTAVE));
    }

    void write(StatisticsWriter writer) {
        writer.add(gapWeight).add(breakWeight).writeSparse(binWeight).writeSparse(binSumMs);
    }

    /** Reads what {@link #write} wrote; the histogram must be new. */
    void read(StatisticsReader reader) throws StatisticsException {
        gapWeight = reader.nextDouble();
        breakWeight = reader.nextDouble();
        reader.readSparse(binWeight);
        reader.readSparse(binSumMs);
    }

    private static int binOf(long gapMs) {
        double octaves = Math.log(Math.max(1, gapMs)) / Math.log(2);
        return Math.min(BINS - 1, (int) (octaves * BINS_PER_OCTAVE));
    }

    private void decayAll() {
        for (int bin = 0; bin < BINS; bin++) {
            binWeight[bin] *= decay;
            binSumMs[bin] *= decay;
        }
        gapWeight *= decay;
        breakWeight *= decay;
    }
}
