package io.persimmonstack.coordination.policy;

import java.util.List;

/**
 * What a policy has learned of the demand for one model or for all models, in a form that can be sent to a policy in
 * another process.
 *
 * @param observations number of observations; statistics with more observations replace those with fewer
 * @param numbers content in a format that only policies know
 */
public record DemandStatistics(long observations, List<Double> numbers) {
    /** Copies the numbers. */
    public DemandStatistics {
        numbers = List.copyOf(numbers);
    }
}
