package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.router.request.Request;

/**
 * Longest waits for targets.
 *
 * @param connectMs until a connection is open
 * @param progressMs between two parts of an answer
 * @param firstTokenMs for the first token of a stream that has begun
 * @param minFirstByteMs shortest wait for the head of an answer before an idempotent request goes elsewhere
 */
public record DispatchTimeouts(int connectMs, int progressMs, int firstTokenMs, int minFirstByteMs) {
    private static final double SERVICE_TIME_MULTIPLE = 4;
    private static final double UNMEASURED_DEADLINE_SHARE = 0.5;

    /**
     * Returns the waits for one attempt. A request that may go elsewhere waits for the head only a multiple of the mean
     * service time, so that a connection that went silent leaves time for another attempt.
     *
     * @param request the request
     * @param serviceMs mean time that targets take for it, 0 where unknown
     * @param mayRetry whether the retry budget allows another attempt
     * @return the waits, none beyond the deadline
     */
    HttpTimeouts forAttempt(Request request, double serviceMs, boolean mayRetry) {
        int remainingMs = (int) Math.clamp(request.leftMs(), 1, Integer.MAX_VALUE);
        int firstByteMs = remainingMs;
        if (mayRetry && request.grant().repeatable() && request.tried().isEmpty()) {
            double expectedMs =
                    serviceMs == 0 ? remainingMs * UNMEASURED_DEADLINE_SHARE : serviceMs * SERVICE_TIME_MULTIPLE;
            firstByteMs = (int) Math.min(remainingMs, Math.max(minFirstByteMs, expectedMs));
        }
        return HttpTimeouts.of(Math.min(remainingMs, connectMs), firstByteMs, Math.min(remainingMs, firstTokenMs));
    }
}
