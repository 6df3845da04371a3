package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.router.request.Request;

/**
 * Timeouts of calls to targets, in milliseconds. A call ends at the deadline of its request; a target that is silent
 * before is replaced if another attempt can follow.
 *
 * @param connectMs timeout for opening a connection
 * @param progressMs time between two parts of an answer after which a target counts as silent
 * @param firstTokenMs time without the first token of a stream that has begun after which its target counts as silent
 * @param minFirstByteMs shortest time without the head of an answer after which a target counts as silent
 */
public record DispatchTimeouts(int connectMs, int progressMs, int firstTokenMs, int minFirstByteMs) {
    /** Multiple of the mean service time after which the head of an answer counts as late. */
    private static final double SERVICE_TIME_MULTIPLE = 4;
    /** Share of the remaining time that a first attempt may use while no service time has been measured. */
    private static final double UNMEASURED_DEADLINE_SHARE = 0.5;

    /** Returns the timeouts of one attempt, all of which end at the deadline. */
    HttpTimeouts forAttempt(Request request) {
        int remainingMs = (int) Math.clamp(request.remainingMs(), 1, Integer.MAX_VALUE);
        return HttpTimeouts.of(Math.min(remainingMs, connectMs), remainingMs, remainingMs);
    }

    /**
     * Returns the time without the head of an answer after which a target counts as silent: for the first attempt at a
     * request that may be repeated, a multiple of the mean service time.
     *
     * @param request the request
     * @param serviceMs mean service time of such requests, 0 while unknown
     */
    int headSilenceMs(Request request, double serviceMs) {
        if (!request.grant().repeatable() || !request.targetFilter().failed().isEmpty()) {
            return Integer.MAX_VALUE;
        }
        double lateMs =
                serviceMs == 0 ? request.remainingMs() * UNMEASURED_DEADLINE_SHARE : serviceMs * SERVICE_TIME_MULTIPLE;
        return (int) Math.max(minFirstByteMs, lateMs);
    }
}
