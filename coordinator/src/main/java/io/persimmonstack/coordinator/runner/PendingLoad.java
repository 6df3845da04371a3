package io.persimmonstack.coordinator.runner;

import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.wire.gen.LoadAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * Load wanted from one runner.
 *
 * @param key what is to be loaded
 * @param deadlineNanos time at which the most urgent waiting request is lost
 * @param sizes accelerator memory that the load takes
 * @param answer completed once the load was ordered, is queued or was refused
 */
record PendingLoad(LoadKey key, long deadlineNanos, LoadSizes sizes, CompletableFuture<LoadAnswer> answer) {
    void complete(LoadAnswer result) {
        answer.complete(result);
    }

    /** Returns whether the demand was refused. */
    boolean isRefused() {
        return answer.isDone() && !LoadAnswers.isAccepted(answer.join());
    }
}
