package io.persimmonstack.coordinator.load;

import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;

/** Creates and inspects answers to load requests. */
public final class LoadAnswers {
    private LoadAnswers() {}

    /** Returns an answer that names the runner it applies to. */
    public static LoadAnswer of(LoadResult result, String runner) {
        LoadAnswer answer = new LoadAnswer(result);
        answer.setRunner(runner);
        return answer;
    }

    /** Returns a refusal that names no runner. */
    public static LoadAnswer refusal(LoadResult result, String reason) {
        LoadAnswer answer = new LoadAnswer(result);
        answer.setReason(reason);
        return answer;
    }

    /** Returns a refusal on behalf of one runner. */
    public static LoadAnswer refusal(LoadResult result, String runner, String reason) {
        LoadAnswer answer = of(result, runner);
        answer.setReason(reason);
        return answer;
    }

    /** Returns whether the request was accepted: the model is loaded or its load is queued or in progress. */
    public static boolean isAccepted(LoadAnswer answer) {
        return answer.getResult() == LoadResult.LOADED || answer.getResult() == LoadResult.LOADING;
    }
}
