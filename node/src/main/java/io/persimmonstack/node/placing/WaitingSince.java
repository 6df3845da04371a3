package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;

/**
 * How long a request has waited and how soon it should be served.
 *
 * @param receivedNanos monotonic time at which it was received
 * @param targetLatencyMs latency target of its route, in milliseconds; 0 for none
 */
record WaitingSince(long receivedNanos, int targetLatencyMs) {
    static WaitingSince of(ActiveRequest request) {
        return new WaitingSince(request.receivedNanos(), request.route().targetLatencyMs());
    }
}
