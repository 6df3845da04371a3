package io.persimmonstack.coordination.policy;

import java.util.Iterator;
import java.util.List;

/** Reads the numbers of statistics one after the other. */
final class StatisticsReader {
    private final Iterator<Double> numbers;

    StatisticsReader(List<Double> numbers) {
        this.numbers = numbers.iterator();
    }

    double nextDouble() throws StatisticsException {
        if (!numbers.hasNext()) {
            throw new StatisticsException("statistics end early");
        }
        double number = numbers.next();
        if (!Double.isFinite(number)) {
            throw new StatisticsException("number " + number + ": expected a finite one");
        }
        return number;
    }

    long nextLong() throws StatisticsException {
        return (long) nextDouble();
    }

    /** Reads an index or a count. */
    int nextIndex(int size) throws StatisticsException {
        double number = nextDouble();
        if (number < 0 || number >= size) {
            throw new StatisticsException("index " + number + ": expected 0 to " + (size - 1));
        }
        return (int) number;
    }

    /** Reads what {@link NumberWriter#sparse} wrote into an array of zeros. */
    void readSparse(double[] target) throws StatisticsException {
        int count = nextIndex(target.length + 1);
        for (int i = 0; i < count; i++) {
            target[nextIndex(target.length)] = nextDouble();
        }
    }
}
