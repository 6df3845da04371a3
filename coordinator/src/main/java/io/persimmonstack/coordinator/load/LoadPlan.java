package io.persimmonstack.coordinator.load;

import io.persimmonstack.wire.gen.LoadResult;
import java.util.List;

/** Decision of {@link LoadPlanner} about a load request. */
public sealed interface LoadPlan {
    /**
     * A replica is loaded, and no further one is needed or possible.
     *
     * @param runner runner that has the model loaded
     */
    record Ready(RunnerView runner) implements LoadPlan {}

    /**
     * Replicas are loaded or loading, and no further one is needed or possible, but none can serve the request yet.
     *
     * @param runner nearest runner that has the model loaded or loading
     * @param readyInMs predicted time until the load has finished, 0 where it is not known
     */
    record Underway(RunnerView runner, long readyInMs) implements LoadPlan {}

    /**
     * Order a load on the first candidate that accepts it.
     *
     * @param runners candidates, best first
     */
    record Order(List<RunnerView> runners) implements LoadPlan {}

    /**
     * No load is possible now.
     *
     * @param result kind of refusal
     * @param reason details for operators
     */
    record Refuse(LoadResult result, String reason) implements LoadPlan {}

    /**
     * All slots under the replica cap are granted, none of them to a runner that can load the model version, but some
     * are unused. One of these is given back first, and the load is then ordered on another runner.
     *
     * @param holders runners that hold an unused slot of the model
     * @param runners candidates for the load, best first
     */
    record MoveSlot(List<RunnerView> holders, List<RunnerView> runners) implements LoadPlan {}
}
