package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.placing.Placement;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.RetryBudget;
import io.persimmonstack.node.prompts.PromptGuard;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.runtime.event.EventLog;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Finds a runner for each request, sends it there, and retries on other runners while {@link RetryState} allows it. */
public final class Dispatcher {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(Dispatcher.class));
    /** Retry-After of a request that no runner ran. */
    private static final long RETRY_AFTER_MS = 300;
    /** Shorter waits for a runner are not logged, since they hardly make an answer late. */
    private static final long MIN_LOGGED_WAIT_MS = 20;

    private final FleetView fleet;
    private final Placer placer;
    private final RetryBudget budget;
    private final HttpConnector connector;
    private final RunnerProtocol protocol;
    private final AnswerHeadReader heads;
    private final OriginDirectory origins;
    private final SendCheck sendCheck;
    private final PromptGuard prompts;
    private final RunnerEndCheck endCheck;

    private Dispatcher(
            FleetView fleet,
            Placer placer,
            RetryBudget budget,
            HttpConnector connector,
            RunnerProtocol protocol,
            OriginDirectory origins,
            ProcessCheck processes,
            PromptGuard prompts) {
        this.fleet = fleet;
        this.placer = placer;
        this.budget = budget;
        this.connector = connector;
        this.protocol = protocol;
        this.heads = AnswerHeadReader.of(protocol, fleet);
        this.origins = origins;
        RunnerConnections connections = RunnerConnections.of(connector, processes);
        this.sendCheck = SendCheck.of(fleet, connections);
        this.prompts = prompts;
        this.endCheck = RunnerEndCheck.of(fleet, connector, connections);
    }

    /**
     * Returns a dispatcher.
     *
     * @param fleet provides the number of nodes that share the retry budget
     * @param placer chooses runners
     * @param budget limits retries
     * @param connector opens connections to runners
     * @param protocol encodes requests and classifies answers
     * @param origins keeps where streams began
     * @param processes asks which process of a runner a connection leads to
     * @param prompts decides whether a request may be sent, by its prompt
     */
    public static Dispatcher of(
            FleetView fleet,
            Placer placer,
            RetryBudget budget,
            HttpConnector connector,
            RunnerProtocol protocol,
            OriginDirectory origins,
            ProcessCheck processes,
            PromptGuard prompts) {
        return new Dispatcher(fleet, placer, budget, connector, protocol, origins, processes, prompts);
    }

    /**
     * Serves a request until the caller has its final answer, blocking the calling thread. An interrupt means that the
     * caller has disconnected.
     *
     * @param request request to serve
     * @param reply sends the answer to the caller
     * @param sends counts the attempts
     * @return timing of the answer
     * @throws RefusedException if the node must answer itself or, where the answer had begun, has aborted it
     * @throws CallerGoneException if the caller has disconnected
     */
    public Delivery serve(ActiveRequest request, Reply reply, SendTracker sends)
            throws RefusedException, CallerGoneException {
        try (OriginRecorder origin = OriginRecorder.of(origins, fleet, request)) {
            return serve(request, reply, sends, origin);
        }
    }

    private Delivery serve(ActiveRequest request, Reply reply, SendTracker sends, OriginRecorder origin)
            throws RefusedException, CallerGoneException {
        refuseIfBlocked(request);
        ServiceRetries retries =
                new ServiceRetries(budget, fleet, request.service().name());
        retries.recordRequest();
        placer.recordArrival(request);
        RetryState retryState = new RetryState(request, sends);
        StreamProgress progress =
                StreamProgress.startingAfter(request.callerRequest().lastEventId(), request.receivedNanos());
        SuccessorFinder successors =
                SuccessorFinder.of(request, retryState, origin, placer, connector, heads, sendCheck, prompts, retries);
        ReservedRunner next = place(request, retryState, progress, origin, reply);
        while (true) {
            Runner runner = next.runner();
            if (next.call().isEmpty()) {
                retryState.recordSend(runner);
            }
            Attempt attempt = Attempt.of(
                    connector,
                    protocol,
                    request,
                    progress,
                    origin,
                    reply,
                    next,
                    heads,
                    sendCheck,
                    successors,
                    placer.paces());
            Outcome outcome;
            try (ReservedRunner reserved = next) {
                outcome = attempt.run();
                recordIfEnded(reserved, attempt, outcome);
            }
            if (outcome instanceof Outcome.Delivered) {
                origin.complete();
                return new Delivery(progress.firstEventMs());
            }
            if (Thread.interrupted()) {
                releaseSuccessor(outcome);
                throw new CallerGoneException("the caller has left during an attempt: " + outcome, null);
            }
            reportOutcome(runner, request, outcome);
            boolean retry = mayContinue(runner, retryState, retries, outcome);
            logFailedAttempt(runner, retryState, request, progress, origin, attempt, outcome, retry);
            if (!retry) {
                return answerFinally(retryState, outcome, progress, reply);
            }
            next = outcome instanceof Outcome.Replaced replaced
                    ? replaced.successor()
                    : place(request, retryState, progress, origin, reply);
        }
    }

    private void refuseIfBlocked(ActiveRequest request) throws RefusedException {
        Optional<Refusal> refusal = prompts.refusal(request.callerRequest());
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
    }

    /** Records if the runner's process ended before the answer began: the request may have caused that. */
    private void recordIfEnded(ReservedRunner reserved, Attempt attempt, Outcome outcome) {
        if (!(outcome instanceof Outcome.Unknown)
                || reserved.prompt().hasBegun()
                || Thread.currentThread().isInterrupted()) {
            return;
        }
        RunnerProcess process = attempt.process();
        if (endCheck.hasEnded(reserved.runner(), process)) {
            reserved.prompt().runnerEnded(process);
        }
    }

    private static void releaseSuccessor(Outcome outcome) {
        if (outcome instanceof Outcome.Replaced replaced) {
            replaced.successor().close();
        }
    }

    /** Returns whether another attempt follows; the budget of one that was reserved has been spent already. */
    private static boolean mayContinue(Runner runner, RetryState retryState, ServiceRetries retries, Outcome outcome) {
        if (outcome instanceof Outcome.Replaced) {
            retryState.recordPossibleRun(runner);
            return true;
        }
        return retryState.mayRetryAfter(runner, outcome, System.nanoTime()) && retries.trySpend();
    }

    private static void logFailedAttempt(
            Runner runner,
            RetryState retryState,
            ActiveRequest request,
            StreamProgress progress,
            OriginRecorder origin,
            Attempt attempt,
            Outcome outcome,
            boolean retry) {
        LOG.write(
                NodeEvent.ATTEMPT_FAILED,
                request.callerRequest().id(),
                runner.id(),
                runner.softwareVersion(),
                retryState.sendCount(),
                retryState.possibleRuns(),
                request.route().maxAttempts(),
                request.remainingMs(System.nanoTime()),
                attempt.silentMs(),
                progress.deliveredCount(),
                origin.softwareVersion().orElse("any"),
                outcome,
                retry,
                request.callerRequest().loggedParts());
    }

    private ReservedRunner place(
            ActiveRequest request, RetryState retryState, StreamProgress progress, OriginRecorder origin, Reply reply)
            throws RefusedException, CallerGoneException {
        try {
            return placeSendable(request, retryState, progress, origin);
        } catch (InterruptedException e) {
            throw new CallerGoneException("the caller has left", e);
        } catch (RefusedException e) {
            if (reply.begun()) {
                reply.abort();
                throw new RefusedException(Refusal.outcomeUnknown("stream broken off: " + e.getMessage()));
            }
            throw retryState.mayHaveRun() ? new RefusedException(Refusal.outcomeUnknown(e.getMessage())) : e;
        }
    }

    /**
     * Places a request at a runner that may still be sent requests once the wait is over. A runner that does not tell
     * its process gets a new stream only if it is chosen a second time.
     */
    private ReservedRunner placeSendable(
            ActiveRequest request, RetryState retryState, StreamProgress progress, OriginRecorder origin)
            throws RefusedException, InterruptedException {
        refuseIfOriginUnknown(origin);
        long latestStartNanos = retryState.latestStartNanos(progress);
        Set<RunnerProcess> asked = new HashSet<>();
        while (true) {
            long beganNanos = System.nanoTime();
            Placement placement =
                    placer.place(request, retryState.runnerFilter(origin.softwareVersion()), latestStartNanos);
            logWait(request, placement, beganNanos);
            if (asked.contains(placement.runner().process())) {
                return admit(request, placement, new SendPermit.Granted(Optional.empty()), latestStartNanos);
            }
            SendPermit permit = sendCheck.check(placement.runner(), request, origin);
            if (Thread.interrupted()) {
                close(placement, permit);
                throw new InterruptedException("the caller has left");
            }
            switch (permit) {
                case SendPermit.Granted granted -> {
                    return admit(request, placement, granted, latestStartNanos);
                }
                case SendPermit.Withheld withheld -> {
                    placer.recordFull(placement.runner());
                    release(placement, request, withheld.reason(), latestStartNanos);
                }
                case SendPermit.Unidentified unidentified -> {
                    asked.add(placement.runner().process());
                    placer.recordFull(placement.runner());
                    release(placement, request, unidentified.reason(), latestStartNanos);
                }
                case SendPermit.Unreachable unreachable -> {
                    placer.recordUnreachable(placement.runner());
                    release(placement, request, unreachable.reason(), latestStartNanos);
                }
            }
        }
    }

    private static void logWait(ActiveRequest request, Placement placement, long beganNanos) {
        long nowNanos = System.nanoTime();
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - beganNanos);
        if (waitedMs < MIN_LOGGED_WAIT_MS) {
            return;
        }
        int targetMs = request.route().targetLatencyMs();
        long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedNanos());
        LOG.write(
                NodeEvent.WAITED,
                request.callerRequest().id(),
                request.workspace().map(Workspace::name).orElse("-"),
                request.priority().workspace() + "/" + request.priority().route(),
                placement.runner().id(),
                waitedMs,
                targetMs > 0 && ageMs > targetMs);
    }

    /** Lets a request be sent to the runner that was chosen, unless its prompt keeps it from all runners. */
    private ReservedRunner admit(
            ActiveRequest request, Placement placement, SendPermit.Granted permit, long latestStartNanos)
            throws RefusedException, InterruptedException {
        try {
            return ReservedRunner.notSent(
                    placement, permit.connection(), prompts.admit(request, latestStartNanos - System.nanoTime()));
        } catch (RefusedException | InterruptedException e) {
            close(placement, permit);
            throw e;
        }
    }

    private static void close(Placement placement, SendPermit permit) {
        permit.connection().ifPresent(RunnerConnection::close);
        placement.close();
    }

    /** Gives back a placement at which nothing was sent; refuses the request if it is too late for another one. */
    private static void release(Placement placement, ActiveRequest request, String reason, long latestStartNanos)
            throws RefusedException {
        placement.close();
        LOG.write(
                NodeEvent.SEND_WITHHELD,
                request.callerRequest().id(),
                placement.runner().id(),
                reason);
        if (latestStartNanos - System.nanoTime() <= 0) {
            throw new RefusedException(Refusal.notRun("no-place", reason, RETRY_AFTER_MS));
        }
    }

    private static void refuseIfOriginUnknown(OriginRecorder origin) throws RefusedException {
        if (origin.hasBegun() && origin.softwareVersion().isEmpty()) {
            String detail = "no entry tells the software version of the process that began the stream";
            throw new RefusedException(Refusal.notRun("stream-in-doubt", detail, RETRY_AFTER_MS));
        }
    }

    /** Reports an unsuccessful attempt to the placer, so that it can avoid the runner. */
    private void reportOutcome(Runner runner, ActiveRequest request, Outcome outcome) {
        switch (outcome) {
            case Outcome.NotRun notRun -> reportNotRun(runner, request, notRun.cause());
            case Outcome.Unknown unknown -> placer.recordFailure(runner);
            case Outcome.Replaced replaced -> placer.recordFailure(runner);
            case Outcome.RanWithError error -> {}
            case Outcome.Delivered delivered -> {}
        }
    }

    private void reportNotRun(Runner runner, ActiveRequest request, Outcome.Cause cause) {
        Optional<ModelRef> model = request.callerRequest().model();
        switch (cause) {
            case FULL -> placer.recordFull(runner);
            case UNREACHABLE -> placer.recordUnreachable(runner);
            case MISDIRECTED ->
                model.ifPresentOrElse(
                        missing -> placer.recordMissingModel(runner, missing), () -> placer.recordUnreachable(runner));
            default -> throw new IllegalStateException("unknown cause " + cause);
        }
    }

    /** Gives the caller the final answer after the last attempt. */
    private Delivery answerFinally(RetryState retryState, Outcome outcome, StreamProgress progress, Reply reply)
            throws RefusedException, CallerGoneException {
        if (reply.begun()) {
            reply.abort();
            throw new RefusedException(Refusal.outcomeUnknown("stream broken off: " + outcome));
        }
        switch (outcome) {
            case Outcome.RanWithError error -> {
                WholeAnswer answer = error.answer();
                reply.whole(answer.status(), answer.headers(), answer.body());
                return new Delivery(progress.firstEventMs());
            }
            case Outcome.NotRun notRun -> {
                if (retryState.mayHaveRun()) {
                    throw new RefusedException(Refusal.outcomeUnknown(notRun.detail()));
                }
                throw new RefusedException(Refusal.notRun("not-run", notRun.detail(), RETRY_AFTER_MS));
            }
            case Outcome.Unknown unknown ->
                throw new RefusedException(
                        unknown.late() ? Refusal.timeout(unknown.detail()) : Refusal.outcomeUnknown(unknown.detail()));
            case Outcome.Replaced replaced -> throw new IllegalStateException("a replaced attempt is not final");
            case Outcome.Delivered delivered -> throw new IllegalStateException("a delivered answer is final");
        }
    }
}
