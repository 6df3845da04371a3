package io.persimmonstack.coordination.policy;

import io.persimmonstack.coordination.CoordinationException;

/** Thrown when {@link DemandStatistics} cannot be read. */
public final class StatisticsException extends CoordinationException {
    private static final long serialVersionUID = 1L;

    StatisticsException(String message) {
        super(message);
    }
}
