package io.persimmonstack.coordinator.load;

import io.persimmonstack.wire.gen.LoadResult;
import java.util.List;

/** What to do about a demand. */
public sealed interface LoadPlan {
    /**
     * Enough replicas are loaded.
     *
     * @param runner one that has the model
     */
    record Ready(RunnerView runner) implements LoadPlan {}

    /**
     * Enough replicas are loaded or loading.
     *
     * @param runner one that is loading the model
     * @param readyInMs predicted remaining time
     */
    record Underway(RunnerView runner, long readyInMs) implements LoadPlan {}

    /**
     * A load is to be ordered on the first runner that takes it.
     *
     * @param runners candidates, best first
     */
    record Order(List<RunnerView> runners) implements LoadPlan {}

    /**
     * Nothing can be done now.
     *
     * @param result why
     * @param reason details
     */
    record Refuse(LoadResult result, String reason) implements LoadPlan {}

    /**
     * All slots are spent, and some of them where the model cannot be loaded: their owners are to give one back first.
     *
     * @param holders runners that hold a slot without using it
     * @param runners candidates afterwards, best first
     */
    record MoveSlot(List<RunnerView> holders, List<RunnerView> runners) implements LoadPlan {}
}
