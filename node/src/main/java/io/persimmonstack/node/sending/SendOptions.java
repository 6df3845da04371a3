package io.persimmonstack.node.sending;

import java.util.OptionalLong;

/**
 * Values that the node adds to a request when it sends it to a runner.
 *
 * @param runner identifier of the only runner that may run it
 * @param timeLeftMs time until the deadline of the request, in milliseconds
 * @param urgency priority at the runner, 0 is the most urgent
 * @param lastEventId last event that the caller has received, if a stream is to be resumed after it
 */
public record SendOptions(String runner, long timeLeftMs, int urgency, OptionalLong lastEventId) {}
