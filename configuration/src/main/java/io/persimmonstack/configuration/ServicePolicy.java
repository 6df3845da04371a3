package io.persimmonstack.configuration;

import java.util.List;

/**
 * Policy for calls to a plain service, which serves no models: allowed callers, retries, deadline and priority.
 *
 * @param service name of the service
 * @param callers names of the callers that may use it
 * @param repeatable whether calls are idempotent and may be retried; otherwise each call runs at most once
 * @param maxDeadlineMs longest time that a call may wait for its answer, in milliseconds; caps the deadline that the
 *     caller asks for
 * @param priority priority of calls from 0 (most urgent) to 9 (least urgent)
 */
public record ServicePolicy(String service, List<String> callers, boolean repeatable, int maxDeadlineMs, int priority) {
    /** Makes an immutable copy of the list. */
    public ServicePolicy {
        callers = List.copyOf(callers);
    }
}
