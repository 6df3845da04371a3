package io.persimmonstack.node.sending;

import java.util.OptionalLong;

/**
 * What the node adds to a request that it sends to a runner.
 *
 * @param runner identifier of the runner that alone may run it
 * @param timeLeftMs how long the runner may work, in milliseconds
 * @param urgency rank among the requests of the runner, 0 first
 * @param lastEventId last event that the caller has already, for a stream that goes on
 */
public record SendOptions(String runner, long timeLeftMs, int urgency, OptionalLong lastEventId) {}
