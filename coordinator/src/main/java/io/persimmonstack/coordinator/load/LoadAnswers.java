package io.persimmonstack.coordinator.load;

import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;

/** Makes and reads answers to demands. */
public final class LoadAnswers {
    private LoadAnswers() {}

    /** Returns an answer that concerns a runner. */
    public static LoadAnswer of(LoadResult result, String runner) {
        LoadAnswer answer = new LoadAnswer(result);
        answer.setRunner(runner);
        return answer;
    }

    /** Returns a refusal that concerns no runner. */
    public static LoadAnswer refusal(LoadResult result, String reason) {
        LoadAnswer answer = new LoadAnswer(result);
        answer.setReason(reason);
        return answer;
    }

    /** Returns a refusal by the owner of a runner. */
    public static LoadAnswer refusal(LoadResult result, String runner, String reason) {
        LoadAnswer answer = of(result, runner);
        answer.setReason(reason);
        return answer;
    }

    /** Returns whether the model is loaded or on its way. */
    public static boolean isAccepted(LoadAnswer answer) {
        return answer.getResult() == LoadResult.LOADED || answer.getResult() == LoadResult.LOADING;
    }
}
