package io.persimmonstack.coordination.policy;

import java.util.ArrayList;
import java.util.List;

/** Collects the numbers of {@link DemandStatistics} in sequence. */
final class StatisticsWriter {
    /** Entries of sparse arrays up to this magnitude are left out. */
    private static final double MIN_MAGNITUDE = 0.001;

    private final List<Double> numbers = new ArrayList<>();

    StatisticsWriter add(double number) {
        numbers.add(number);
        return this;
    }

    /** Writes the number of entries that are not negligible, then each of them with its index. */
    StatisticsWriter writeSparse(double[] values) {
        int countIndex = numbers.size();
        add(0);
        int count = 0;
        for (int i = 0; i < values.length; i++) {
            if (Math.abs(values[i]) > MIN_MAGNITUDE) {
                add(i);
                add(values[i]);
                count++;
            }
        }
        numbers.set(countIndex, (double) count);
        return this;
    }

    List<Double> numbers() {
        return numbers;
    }
}
