package io.persimmonstack.router.admission;

import io.opentelemetry.context.Context;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.CoordinatorClient;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Requests loads of models and adapters from coordinators, with one call at a time for each of them, however many
 * requests wait for it. If a coordinator refuses a load, all requests that wait for it are refused at once.
 */
public final class LoadRequester {
    private static final EventLog LOG = EventLog.of(LoadRequester.class);
    private static final int MAX_CALL_TIMEOUT_MS = 5_000;
    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    private static final long RETRY_PAUSE_MS = 200;

    /** Time after the predicted end of a load before it is requested again. */
    private static final long RECHECK_MARGIN_MS = 250;

    /** Time before a load without a predicted end is requested again. */
    private static final long DEFAULT_RECHECK_MS = 1_000;

    private static final long DEFAULT_RETRY_AFTER_MS = 2_000;

    private final CoordinatorClient coordinators;
    private final FleetViews views;
    private final Placer placer;
    private final Tracing tracing;
    private final RouterMetrics metrics;
    private final String zone;

    private LoadRequester(
            CoordinatorClient coordinators,
            FleetViews views,
            Placer placer,
            Tracing tracing,
            RouterMetrics metrics,
            String zone) {
        this.coordinators = coordinators;
        this.views = views;
        this.placer = placer;
        this.tracing = tracing;
        this.metrics = metrics;
        this.zone = zone;
    }

    /**
     * Creates the requester.
     *
     * @param coordinators client for the coordinators
     * @param views holder of the view in which loaded models appear
     * @param placer finds the targets that have a model or adapter loaded
     * @param tracing carries the trace of the request that caused a load
     * @param metrics counts the results of load requests
     * @param zone availability zone of this router
     * @return the requester
     */
    public static LoadRequester of(
            CoordinatorClient coordinators,
            FleetViews views,
            Placer placer,
            Tracing tracing,
            RouterMetrics metrics,
            String zone) {
        return new LoadRequester(coordinators, views, placer, tracing, metrics, zone);
    }

    /**
     * Starts to request a load on a virtual thread and returns at once. Does nothing while a load is being requested
     * for the queue.
     *
     * @param queue queue of the requests that wait for the load
     * @param work work that needs the model or adapter
     * @param traceContext trace of the request that caused the load
     * @param replicas number of loaded replicas to reach
     */
    void requestLoad(AdmissionQueue queue, Work.Completion work, Context traceContext, int replicas) {
        if (!queue.tryBeginLoadRequest()) {
            return;
        }
        LoadRequest load = new LoadRequest(
                work.model().toString(), MAX_CALL_TIMEOUT_MS, Math.max(1, queue.waiting()), zone, replicas, 0);
        work.adapter().ifPresent(load::setAdapter);
        Map<String, String> trace = tracing.inject(traceContext);
        Thread.ofVirtual().name("load " + queue.resourceName()).start(() -> {
            try {
                requestUntilLoaded(queue, work, load, trace);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                queue.endLoadRequest();
            }
        });
    }

    /**
     * Repeats the load request until enough replicas are loaded, no request is waiting any more, or the load is
     * refused. Unless enough replicas are loaded, it is sent at least once.
     */
    private void requestUntilLoaded(
            AdmissionQueue queue, Work.Completion work, LoadRequest load, Map<String, String> trace)
            throws InterruptedException {
        long startedNanos = System.nanoTime();
        int consecutiveFailures = 0;
        boolean firstRequest = true;
        while ((firstRequest || queue.waiting() > 0) && countLoadedTargets(work) < load.getReplicasWanted()) {
            firstRequest = false;
            load.setWaiting(Math.max(1, queue.waiting()));
            queue.head().ifPresent(head -> load.setSlackMs(slackMs(head)));
            try {
                LoadAnswer answer = coordinators.callAny(callTimeoutMs(load), client -> client.load(load, trace));
                metrics.countLoadResult(answer.getResult());
                if (!awaitLoad(queue, work, load, answer, startedNanos)) {
                    return;
                }
                consecutiveFailures = 0;
            } catch (WireException e) {
                LOG.write(RouterEvent.COORDINATOR_FAILED, "any", e.getMessage());
                if (++consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
                    refuseWaiting(queue, work, RefusalCode.NO_COORDINATOR, e.getMessage(), DEFAULT_RETRY_AFTER_MS);
                    return;
                }
                Thread.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    private static int callTimeoutMs(LoadRequest load) {
        return (int) Math.clamp(load.getSlackMs(), 1_000, MAX_CALL_TIMEOUT_MS);
    }

    /** Returns the time left until the deadline of a request in milliseconds, 0 once it has passed. */
    private static long slackMs(QueuedRequest head) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(head.deadlineNanos() - System.nanoTime()));
    }

    private int countLoadedTargets(Work.Completion work) {
        return placer.eligibleTargets(work, views.current()).size();
    }

    /** Waits for the load that the answer announces; returns false if the answer is a refusal. */
    private boolean awaitLoad(
            AdmissionQueue queue, Work.Completion work, LoadRequest load, LoadAnswer answer, long startedNanos)
            throws InterruptedException {
        if (answer.getResult() != LoadResult.LOADED && answer.getResult() != LoadResult.LOADING) {
            String reason = answer.isSetReason()
                    ? answer.getReason()
                    : answer.getResult().name();
            long retryAfterMs = answer.isSetRetryAfterMs() ? answer.getRetryAfterMs() : DEFAULT_RETRY_AFTER_MS;
            refuseWaiting(queue, work, refusalCode(answer.getResult()), reason, retryAfterMs);
            return false;
        }
        long waitMs = answer.isSetReadyInMs() ? answer.getReadyInMs() + RECHECK_MARGIN_MS : DEFAULT_RECHECK_MS;
        boolean wasCold = countLoadedTargets(work) == 0;
        boolean ready = views.await(
                view -> placer.eligibleTargets(work, view).size() >= load.getReplicasWanted() || queue.waiting() == 0,
                Math.max(RECHECK_MARGIN_MS, waitMs));
        if (ready && wasCold && countLoadedTargets(work) > 0) {
            queue.loadTime().add(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNanos));
        }
        return true;
    }

    /**
     * Refuses all waiting requests if their model is not loaded. If it is, only a further replica was refused, and the
     * requests can still be served.
     */
    private void refuseWaiting(
            AdmissionQueue queue, Work.Completion work, RefusalCode code, String reason, long retryAfterMs) {
        if (countLoadedTargets(work) > 0) {
            return;
        }
        LOG.write(RouterEvent.LOAD_REFUSED, queue.resourceName(), code.code(), reason);
        queue.refuseAll(Refusal.notRun(code, queue.resourceName() + ": " + reason, retryAfterMs));
    }

    private static RefusalCode refusalCode(LoadResult result) {
        return switch (result) {
            case REFUSED_CAP -> RefusalCode.REPLICA_CAP;
            case REFUSED_MEMORY -> RefusalCode.NO_MEMORY;
            case REFUSED_OWNER -> RefusalCode.OWNER_CHANGING;
            case REFUSED_KV -> RefusalCode.KV_UNAVAILABLE;
            case REFUSED_STORE -> RefusalCode.WEIGHT_STORE;
            case REFUSED_UNKNOWN -> RefusalCode.UNKNOWN_MODEL;
            case REFUSED_FAILED, LOADED, LOADING -> RefusalCode.LOAD_FAILED;
        };
    }
}
