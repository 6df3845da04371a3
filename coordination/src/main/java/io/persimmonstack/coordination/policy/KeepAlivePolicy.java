package io.persimmonstack.coordination.policy;

import java.util.Optional;

/**
 * Decides how long an idle model stays loaded and whether a model is loaded ahead of demand.
 *
 * <pre>{@code
 * KeepAlivePolicy policy = KeepAlivePolicy.adaptive();
 * policy.observe("summary", cost, nowMs);
 * long unloadAtMs = idleSinceMs + policy.keepAliveMs("summary", cost, idleSinceMs);
 * }</pre>
 *
 * <p>All times are in milliseconds since the epoch and passed by the caller. Implementations start no threads and are
 * not thread-safe.
 */
public sealed interface KeepAlivePolicy permits AdaptiveKeepAlive, FixedKeepAlive {
    /** Keep-alive in milliseconds of a model that is never unloaded for being idle. */
    long NEVER_MS = Long.MAX_VALUE / 4;
    /** Name that stands for all models together in {@link #statistics} and {@link #adopt}. */
    String ALL_MODELS = "";

    /**
     * Records a request.
     *
     * @param model requested model
     * @param cost cost of keeping and loading the model
     * @param nowMs time of the request
     */
    void observe(String model, ModelCost cost, long nowMs);

    /**
     * Returns how long a model stays loaded after its last request has ended.
     *
     * @param model loaded model
     * @param cost cost of keeping and loading the model
     * @param idleSinceMs time at which its last request ended
     * @return keep-alive in milliseconds, {@link #NEVER_MS} if the model is not unloaded for being idle
     */
    long keepAliveMs(String model, ModelCost cost, long idleSinceMs);

    /**
     * Returns until when an idle model should stay loaded, beyond its keep-alive, because demand is expected.
     *
     * @param model loaded model
     * @param cost cost of keeping and loading the model
     * @param nowMs current time
     * @return end of the time in which demand is likely enough, or {@code nowMs} if it is not
     */
    long holdUntilMs(String model, ModelCost cost, long nowMs);

    /**
     * Returns until when a model should be loaded ahead of demand. Such a model is loaded into free memory only.
     * Loading requires more expected demand than keeping, so that a model is not loaded and unloaded in turn.
     *
     * @param model model that is not loaded
     * @param cost cost of keeping and loading the model
     * @param nowMs current time
     * @return end of the time in which demand is likely enough, or {@code nowMs} if it is not
     */
    long preloadUntilMs(String model, ModelCost cost, long nowMs);

    /**
     * Returns the value of keeping an idle model loaded; under memory pressure the model with the lowest value is
     * unloaded first.
     *
     * @param model idle model
     * @param cost cost of keeping and loading the model
     * @param nowMs current time
     * @return expected cold-start cost saved per second and accelerator
     */
    double retentionValue(String model, ModelCost cost, long nowMs);

    /**
     * Returns what this policy has learned of a model's demand.
     *
     * @param model model, or {@link #ALL_MODELS}
     * @return statistics for {@link #adopt} of another policy, or empty if nothing was learned
     */
    Optional<DemandStatistics> statistics(String model);

    /**
     * Returns the number of observations from which a model's demand was learned.
     *
     * @param model model, or {@link #ALL_MODELS}
     * @return number of requests of the model, or of sessions of all models; 0 if nothing was learned
     */
    long observations(String model);

    /**
     * Replaces what this policy has learned of a model's demand by statistics from another policy, if they are based on
     * more observations.
     *
     * @param model model, or {@link #ALL_MODELS}
     * @param statistics statistics of the other policy
     * @return whether they replaced this policy's own
     * @throws StatisticsException if the statistics cannot be read; this policy is unchanged
     */
    boolean adopt(String model, DemandStatistics statistics) throws StatisticsException;

    /** Returns a policy that adapts to the observed demand for each model. */
    static KeepAlivePolicy adaptive() {
        return AdaptiveKeepAlive.create();
    }

    /** Returns a policy with the same keep-alive for all models, in milliseconds. */
    static KeepAlivePolicy fixed(long keepAliveMs) {
        return new FixedKeepAlive(keepAliveMs);
    }
}
