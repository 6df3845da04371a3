package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.router.request.Request;

/**
 * Timeouts of calls to targets.
 *
 * @param connectMs timeout for opening a connection
 * @param progressMs timeout between two parts of an answer
 * @param firstTokenMs timeout for the first token of a stream that has begun
 * @param minFirstByteMs lower bound of the timeout for the head of an answer when the request may be retried elsewhere
 */
public record DispatchTimeouts(int connectMs, int progressMs, int firstTokenMs, int minFirstByteMs) {
    /** Multiple of the mean service time after which the head of an answer counts as late. */
    private static final double SERVICE_TIME_MULTIPLE = 4;
    /** Share of the remaining time that a first attempt may use while no service time has been measured. */
    private static final double UNMEASURED_DEADLINE_SHARE = 0.5;

    /**
     * Returns the timeouts of one attempt. The first attempt of a request that may be retried waits for the head of the
     * answer only for a multiple of the mean service time, so that a dead connection leaves time for another attempt.
     *
     * @param request the request
     * @param serviceMs mean service time of such requests, 0 while unknown
     * @param mayRetry whether the retry budget permits another attempt
     * @return the timeouts, none of them beyond the deadline
     */
    HttpTimeouts forAttempt(Request request, double serviceMs, boolean mayRetry) {
        int remainingMs = (int) Math.clamp(request.remainingMs(), 1, Integer.MAX_VALUE);
        int firstByteMs = remainingMs;
        if (mayRetry && request.grant().repeatable() && request.failedTargets().isEmpty()) {
            double headTimeoutMs =
                    serviceMs == 0 ? remainingMs * UNMEASURED_DEADLINE_SHARE : serviceMs * SERVICE_TIME_MULTIPLE;
            firstByteMs = (int) Math.min(remainingMs, Math.max(minFirstByteMs, headTimeoutMs));
        }
        return HttpTimeouts.of(Math.min(remainingMs, connectMs), firstByteMs, Math.min(remainingMs, firstTokenMs));
    }
}
