package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.Jitter;
import java.util.concurrent.TimeUnit;

/** Refusals of requests that were not placed, with the time after which their callers may retry. */
final class PlacementRefusals {
    /** Base of the randomised retry time advised to a caller whose request timed out. */
    private static final long RETRY_AFTER_MS = 500;

    /** Time after which a larger cache may have been configured. */
    private static final long TOO_LARGE_RETRY_AFTER_S = 60;

    /** Mean time over which callers return after a pause of the runners. */
    private static final long RETURN_SPREAD_MS = 200;

    private PlacementRefusals() {}

    /** Returns the refusal of a request that no runner could take before its deadline. */
    static RefusedException noPlace(ActiveRequest request) {
        String detail = request.callerRequest()
                        .model()
                        .map(model -> "no runner with " + model)
                        .orElse("no runner") + " before the deadline";
        return refusal("no-place", detail, Jitter.spread(RETRY_AFTER_MS));
    }

    /** Returns the refusal of a request that exceeds the whole cache of each runner. */
    static RefusedException tooLarge(long expectedTokens) {
        return refusal(
                "too-large",
                expectedTokens + " tokens exceed the cache of a runner",
                TimeUnit.SECONDS.toMillis(TOO_LARGE_RETRY_AFTER_S));
    }

    /** Returns the refusal of the rest of a stream of which no runner has the software version that began it. */
    static RefusedException versionGone(String softwareVersion) {
        return refusal(
                "version-gone", "no runner of software version " + softwareVersion, Jitter.spread(RETRY_AFTER_MS));
    }

    /**
     * Returns the refusal of a request whose runners all want none.
     *
     * @param quietMs time until the first of them takes requests again, in milliseconds
     */
    static RefusedException runnersQuiet(long quietMs) {
        String detail = "all runners want no requests for " + quietMs + " ms";
        return refusal("runners-quiet", detail, Math.max(0, quietMs) + Jitter.spread(RETURN_SPREAD_MS));
    }

    /**
     * Returns the refusal of a request whose model comes too late.
     *
     * @param model requested model
     * @param earliestMs time until the model can be loaded, in milliseconds
     * @param retryAfterMs time after which the caller may retry, in milliseconds
     */
    static RefusedException modelNotLoaded(ModelRef model, long earliestMs, long retryAfterMs) {
        return refusal("model-not-loaded", model + " is not loaded for at least " + earliestMs + " ms", retryAfterMs);
    }

    /** Returns the refusal of a request that a node which is shutting down does not place. */
    static RefusedException leaving() {
        return refusal("leaving", "this node is shutting down", 0);
    }

    private static RefusedException refusal(String reason, String detail, long retryAfterMs) {
        return new RefusedException(Refusal.notRun(reason, detail, retryAfterMs));
    }
}
