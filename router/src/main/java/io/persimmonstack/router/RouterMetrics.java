package io.persimmonstack.router;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.Locale;
import java.util.function.IntSupplier;

/** Metrics of the router, shown on the admin port. Thread-safe. */
public final class RouterMetrics {
    private final MetricRegistry registry;
    private final Counter answered;
    private final Counter refused;
    private final Counter callersGone;
    private final Counter retries;
    private final Counter hedges;
    private final Counter resumes;
    private final Counter streamsOpen;
    private final Counter mismatchedAnswers;
    private final Timer waitTime;
    private final Timer dispatchTime;
    private final Timer totalTime;

    private RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.answered = registry.counter("requests.answered");
        this.refused = registry.counter("requests.refused");
        this.callersGone = registry.counter("requests.caller-gone");
        this.retries = registry.counter("dispatch.retries");
        this.hedges = registry.counter("dispatch.hedges");
        this.resumes = registry.counter("streams.resumed");
        this.streamsOpen = registry.counter("streams.open");
        this.mismatchedAnswers = registry.counter("dispatch.crossed");
        this.waitTime = registry.timer("admission.wait");
        this.dispatchTime = registry.timer("dispatch.time");
        this.totalTime = registry.timer("requests.time");
    }

    /**
     * Creates the metrics and registers them.
     *
     * @param registry registry that the admin port shows
     * @return the metrics
     */
    public static RouterMetrics of(MetricRegistry registry) {
        return new RouterMetrics(registry);
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the metric
     * @param value supplier of the current value, called each time the metric is read
     */
    public void gauge(String name, IntSupplier value) {
        registry.gauge(name, () -> (Gauge<Integer>) value::getAsInt);
    }

    /** Counts a refusal, in total and by its code. */
    public void countRefusal(RefusalCode code) {
        refused.inc();
        registry.counter("refusals." + code.code()).inc();
    }

    /** Counts the result of a claim by its name. */
    public void countClaimResult(String result) {
        registry.counter("claims." + result).inc();
    }

    /** Counts the result of a load request. */
    public void countLoadResult(LoadResult result) {
        registry.counter("loads." + result.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .inc();
    }

    /** Returns the counter of requests that were answered completely. */
    public Counter answered() {
        return answered;
    }

    /** Returns the counter of requests whose caller left before the answer was complete. */
    public Counter callersGone() {
        return callersGone;
    }

    /** Returns the counter of attempts after the first. */
    public Counter retries() {
        return retries;
    }

    /** Returns the counter of hedges: second attempts that run in parallel to a late one. */
    public Counter hedges() {
        return hedges;
    }

    /** Returns the counter of streams that a further attempt resumed. */
    public Counter resumes() {
        return resumes;
    }

    /** Returns the counter of streams in progress, which is also decremented. */
    public Counter streamsOpen() {
        return streamsOpen;
    }

    /** Returns the counter of answers that carried the identifier of another request. */
    public Counter mismatchedAnswers() {
        return mismatchedAnswers;
    }

    /** Returns the timer of waits for capacity at a target. */
    public Timer waitTime() {
        return waitTime;
    }

    /** Returns the timer of attempts, from dispatch to the end of the answer. */
    public Timer dispatchTime() {
        return dispatchTime;
    }

    /** Returns the timer of requests, from arrival to the end of the answer. */
    public Timer totalTime() {
        return totalTime;
    }
}
