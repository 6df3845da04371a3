package io.persimmonstack.coordination.policy;

import java.util.Iterator;
import java.util.List;

/** Reads the numbers of {@link DemandStatistics} in sequence, as {@link StatisticsWriter} wrote them. */
final class StatisticsReader {
    private final Iterator<Double> numbers;

    StatisticsReader(List<Double> numbers) {
        this.numbers = numbers.iterator();
    }

    /**
     * Reads the next number.
     *
     * @throws StatisticsException if there are no more numbers or the number is not finite
     */
    double nextDouble() throws StatisticsException {
        if (!numbers.hasNext()) {
            throw new StatisticsException("statistics end before the last expected number");
        }
        double number = numbers.next();
        if (!Double.isFinite(number)) {
            throw new StatisticsException("number " + number + ": expected a finite number");
        }
        return number;
    }

    long nextLong() throws StatisticsException {
        return (long) nextDouble();
    }

    /** Reads an index or a count from 0 to {@code size} - 1. */
    int nextIndex(int size) throws StatisticsException {
        double number = nextDouble();
        if (number < 0 || number >= size) {
            throw new StatisticsException("index " + number + ": expected 0 to " + (size - 1));
        }
        return (int) number;
    }

    /** Reads what {@link StatisticsWriter#writeSparse} wrote into {@code target}, which must contain zeros only. */
    void readSparse(double[] target) throws StatisticsException {
        int count = nextIndex(target.length + 1);
        for (int i = 0; i < count; i++) {
            target[nextIndex(target.length)] = nextDouble();
        }
    }
}
