package io.persimmonstack.node.prompts;

import io.persimmonstack.coordination.crash.PartPermit;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.runtime.event.EventLog;

/**
 * Permission to send a request to a runner once, which learns how that goes. Closing it ends its turn. Not thread-safe.
 *
 * @param request the request
 * @param parts permission by the parts of its prompt
 */
public record PromptPermit(CallerRequest request, PartPermit parts) implements AutoCloseable {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(PromptPermit.class));

    /** Records that the answer has begun; further calls have no effect. */
    public void answerBegun() {
        parts.answerBegun();
    }

    /** Returns whether the answer has begun. */
    public boolean hasBegun() {
        return parts.hasBegun();
    }

    /** Records that the runner process ended before the answer began. */
    public void runnerEnded(RunnerProcess process) {
        LOG.write(NodeEvent.RUNNER_ENDED, request.id(), process.runner(), process.startedMs(), request.loggedParts());
        parts.processEnded(process.runner() + "@" + process.startedMs());
    }

    /** Returns whether the request may be sent on another connection to the same runner. */
    public boolean maySendAgain() {
        return parts.maySendAgain();
    }

    @Override
    public void close() {
        parts.close();
    }
}
