package io.persimmonstack.node.prompts;

import io.persimmonstack.coordination.crash.Admission;
import io.persimmonstack.coordination.crash.BlockedPart;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.Jitter;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Refuses requests whose prompts end runners, by what {@link PartGuard} decides. Thread-safe. */
public final class PromptGuard {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(PromptGuard.class));
    /** Longest wait for the answer of another suspected request to begin. */
    private static final long MAX_TURN_WAIT_MS = 1_000;
    /** Retry-After of a request whose turn did not come. */
    private static final long TURN_RETRY_AFTER_MS = 1_000;

    private final PartGuard parts;
    private volatile Runnable onBlocked = () -> {};
    private volatile Runnable onReportDue = () -> {};

    private PromptGuard(String node, long startedMs, FleetView fleet, TimeSource time) {
        this.parts = PartGuard.create(
                node, node + "@" + startedMs, () -> fleet.current().peers().keySet(), new Events(), time);
    }

    /**
     * Returns a guard that has observed nothing.
     *
     * @param node name of this node
     * @param startedMs start time of its process, in Unix milliseconds
     * @param fleet lists the nodes, one of which tries each blocked part
     */
    public static PromptGuard create(String node, long startedMs, FleetView fleet) {
        return new PromptGuard(node, startedMs, fleet, TimeSource.system());
    }

    /** Returns a guard with clocks of its own. */
    static PromptGuard create(String node, long startedMs, FleetView fleet, TimeSource time) {
        return new PromptGuard(node, startedMs, fleet, time);
    }

    /** Logs what the guard decides and passes it on. */
    private final class Events implements PartGuard.Listener {
        @Override
        public void blocked(String part, int ends) {
            LOG.write(NodeEvent.PART_BLOCKED, part, ends);
            onBlocked.run();
        }

        @Override
        public void freed(String part) {
            LOG.write(NodeEvent.PART_FREED, part);
        }

        @Override
        public void tried(String part) {
            LOG.write(NodeEvent.PART_TRIED, part);
        }

        @Override
        public void reportDue() {
            onReportDue.run();
        }
    }

    /** Sets the action to run when a part has been blocked; it must not block. */
    public void onBlocked(Runnable action) {
        onBlocked = action;
    }

    /** Sets the action to run when other nodes should hear from this one; it must not block. */
    public void onReportDue(Runnable action) {
        onReportDue = action;
    }

    /** Returns what decides about parts of prompts. */
    public PartGuard parts() {
        return parts;
    }

    /** Returns the refusal of a request with a blocked part, empty if it may wait for a runner. */
    public Optional<Refusal> refusal(CallerRequest request) {
        return parts.blockedPart(request.sharedPartIds()).map(PromptGuard::refusal);
    }

    private static Refusal refusal(BlockedPart part) {
        return Refusal.notRun("prompt-blocked", part.detail(), Jitter.spread(part.retryAfterMs()));
    }

    /**
     * Lets a request be sent to a runner; waits for its turn if it has a suspected part.
     *
     * @param request request to send
     * @param maxWaitNanos longest wait
     * @return the permit, to be closed after the attempt
     * @throws RefusedException if a part is blocked, or the turn did not come
     * @throws InterruptedException if the thread is interrupted, because the caller has disconnected
     */
    public PromptPermit admit(ActiveRequest request, long maxWaitNanos) throws RefusedException, InterruptedException {
        CallerRequest callerRequest = request.callerRequest();
        long waitNanos = Math.min(TimeUnit.MILLISECONDS.toNanos(MAX_TURN_WAIT_MS), maxWaitNanos);
        return switch (parts.admit(callerRequest.sharedPartIds(), waitNanos)) {
            case Admission.Admitted admitted -> new PromptPermit(callerRequest, admitted.permit());
            case Admission.Blocked blocked -> throw new RefusedException(refusal(blocked.part()));
            case Admission.Busy busy -> {
                String detail = "other requests whose prompts may end runners are tried";
                throw new RefusedException(
                        Refusal.notRun("prompt-suspected", detail, Jitter.spread(TURN_RETRY_AFTER_MS)));
            }
        };
    }

    /** Lets a request be sent to a runner that is to replace a silent one; empty if a part is suspected or blocked. */
    public Optional<PromptPermit> admitUnsuspected(CallerRequest request) {
        return parts.admitUnsuspected(request.sharedPartIds()).map(permit -> new PromptPermit(request, permit));
    }
}
