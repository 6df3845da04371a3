package io.persimmonstack.router.request;

/**
 * What the configuration allows a request: the work to be done by a target, and the limits for it.
 *
 * @param policy name of the deployment or service whose policy applies
 * @param work work that the request asks a target to do
 * @param priority priority of the deployment or service, 0 (most urgent) to 9; the request may only lower it
 * @param maxDeadlineMs longest deadline that the caller may request, in milliseconds after arrival
 * @param repeatable whether the request is idempotent, so that it may be sent to targets more than once
 */
public record Grant(String policy, Work work, int priority, int maxDeadlineMs, boolean repeatable) {}
