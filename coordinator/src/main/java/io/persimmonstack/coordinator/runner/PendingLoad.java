package io.persimmonstack.coordinator.runner;

import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.wire.gen.LoadAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * Load request queued on one runner.
 *
 * @param key model or adapter to be loaded
 * @param deadlineNanos monotonic time at which the most urgent waiting request expires
 * @param sizes accelerator memory that the load takes
 * @param answer completed once the load was ordered, is queued or was refused
 */
record PendingLoad(LoadKey key, long deadlineNanos, LoadSizes sizes, CompletableFuture<LoadAnswer> answer) {
    /** Answers the request; has no effect if it was answered before. */
    void complete(LoadAnswer result) {
        answer.complete(result);
    }

    /** Returns whether the request was answered that the model is loaded or its load is queued or in progress. */
    boolean isAccepted() {
        return answer.isDone() && LoadAnswers.isAccepted(answer.join());
    }
}
