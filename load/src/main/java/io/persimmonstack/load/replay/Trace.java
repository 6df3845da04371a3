package io.persimmonstack.load.replay;

import java.util.List;

/**
 * Demand for the models of a fleet over time.
 *
 * @param fleet fleet for which the demand was generated
 * @param models models by the index that arrivals use
 * @param arrivals requests in the order of arrival
 * @param endMs end of the trace, in milliseconds from its start
 */
record Trace(Fleet fleet, List<ReplayModel> models, List<Arrival> arrivals, long endMs) {
    private static final long DAY_MS = 86_400_000;

    /** Creates a trace of the full length that the fleet states. */
    Trace(Fleet fleet, List<ReplayModel> models, List<Arrival> arrivals) {
        this(fleet, models, arrivals, fleet.days() * DAY_MS);
    }

    /** Returns the same demand with another cold start weight for all models. */
    Trace withWeight(double weight) {
        return new Trace(
                fleet, models.stream().map(model -> model.withWeight(weight)).toList(), arrivals, endMs);
    }
}
