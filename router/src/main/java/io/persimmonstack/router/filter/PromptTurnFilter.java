package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.coordination.crash.Admission;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.crash.PartPermit;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.snapshot.Target;
import io.persimmonstack.runtime.event.EventLog;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Lets an attempt be sent if no part of its prompt ends targets, those with a suspected part one at a time, and finds
 * out whether the target has ended when the attempt broke before the answer began.
 */
public final class PromptTurnFilter implements Filter {
    private static final EventLog LOG = EventLog.of(PromptTurnFilter.class);
    /** Longest wait for the answer of another suspected request to begin. */
    private static final long MAX_TURN_WAIT_MS = 1_000;

    private static final long TURN_RETRY_AFTER_MS = 1_000;
    private static final int CONNECT_TIMEOUT_MS = 200;
    /** Time within which a target that has ended does not end again. */
    private static final long SAME_END_MS = 2_000;

    private final PartGuard guard;
    private final HttpConnector connector;

    private PromptTurnFilter(PartGuard guard, HttpConnector connector) {
        this.guard = guard;
        this.connector = connector;
    }

    /**
     * Returns the filter.
     *
     * @param guard decides about parts of prompts
     * @param connector connects to targets
     */
    public static PromptTurnFilter of(PartGuard guard, HttpConnector connector) {
        return new PromptTurnFilter(guard, connector);
    }

    @Override
    public String name() {
        return "prompt-turn";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        List<String> parts = BlockedPromptFilter.parts(request);
        if (parts.isEmpty()) {
            next.proceed(request);
            return;
        }
        try (PartPermit permit = admit(request, parts)) {
            request.promptPermit(Optional.of(permit));
            proceed(request, permit, next);
        } finally {
            request.promptPermit(Optional.empty());
        }
    }

    private void proceed(Request request, PartPermit permit, FilterChain next)
            throws RouterException, InterruptedException {
        try {
            next.proceed(request);
        } catch (AttemptException e) {
            Target target = request.reservation().orElseThrow().target();
            boolean waited = e.kind() == AttemptException.Kind.BROKEN && !permit.hasBegun();
            if (waited && refusesConnections(target)) {
                LOG.write(RouterEvent.TARGET_ENDED, target.id(), request.id(), String.join(",", permit.parts()));
                permit.processEnded(processName(target));
            }
            throw e;
        }
    }

    /** Returns whether the process of a target has ended; a target that does not answer at all may be cut off. */
    private boolean refusesConnections(Target target) {
        try {
            connector.connect(target.address(), CONNECT_TIMEOUT_MS).close();
            return false;
        } catch (HttpFailure e) {
            return e.getCause() instanceof ConnectException;
        }
    }

    /** Returns a name of the process that has just ended, which other routers give it, too, as a rule. */
    private static String processName(Target target) {
        return target.id() + "@" + System.currentTimeMillis() / SAME_END_MS;
    }

    private PartPermit admit(Request request, List<String> parts) throws RouterException, InterruptedException {
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_TURN_WAIT_MS, request.remainingMs()));
        return switch (guard.admit(parts, waitNanos)) {
            case Admission.Admitted admitted -> admitted.permit();
            case Admission.Blocked blocked -> throw BlockedPromptFilter.refusal(blocked.part());
            case Admission.Busy busy -> {
                String detail = "other requests whose prompts may end runners are tried";
                throw Refusal.notRun(RefusalCode.PROMPT_BLOCKED, detail, TURN_RETRY_AFTER_MS)
                        .exception();
            }
        };
    }
}
