package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.node.BoundedLog;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.Placement;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.RetryBudget;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;

/** Places a request, sends it, and sends it again where that is allowed and worth while. */
public final class Dispatcher {
    private static final BoundedLog LOG = BoundedLog.over(EventLog.of(Dispatcher.class));
    private static final long RETRY_AFTER_MS = 300;
    /** A node that has just started may not know of the others yet. */
    private static final int LEAST_NODES = 6;

    private final FleetView fleet;
    private final Placer placer;
    private final RetryBudget budget;
    private final HttpConnector connector;
    private final RunnerProtocol protocol;

    private Dispatcher(
            FleetView fleet, Placer placer, RetryBudget budget, HttpConnector connector, RunnerProtocol protocol) {
        this.fleet = fleet;
        this.placer = placer;
        this.budget = budget;
        this.connector = connector;
        this.protocol = protocol;
    }

    /**
     * Returns a dispatcher.
     *
     * @param fleet tells how many nodes share the budget of repeats
     * @param placer finds runners
     * @param budget bounds repeats
     * @param connector opens connections to runners
     * @param protocol protocol of the runners
     */
    public static Dispatcher of(
            FleetView fleet, Placer placer, RetryBudget budget, HttpConnector connector, RunnerProtocol protocol) {
        return new Dispatcher(fleet, placer, budget, connector, protocol);
    }

    /**
     * Serves a request until the caller has its final answer.
     *
     * @param request request to serve
     * @param reply way back to the caller
     * @param sends counts the attempts
     * @return what became of it
     * @throws RefusedException if the node answers by itself
     * @throws CallerGoneException if the caller has left
     */
    public Served serve(ActiveRequest request, Reply reply, Sends sends) throws RefusedException, CallerGoneException {
        budget.recordRequest(request.service().name(), System.nanoTime());
        Dispatch dispatch = new Dispatch(request, sends);
        StreamProgress progress = StreamProgress.after(request.caller().lastEventId(), request.receivedNanos());
        while (true) {
            Placement placement = place(request, dispatch, reply);
            Runner runner = placement.runner();
            dispatch.sentTo(runner);
            Outcome outcome;
            try (placement) {
                outcome = Attempt.of(connector, protocol, request, progress, reply, runner)
                        .run(dispatch.silenceMs(progress.begun()));
            }
            if (outcome instanceof Outcome.Delivered) {
                return new Served(progress.firstMs());
            }
            observe(runner, request, outcome);
            boolean repeat = dispatch.mayRepeat(runner, outcome, System.nanoTime())
                    && budget.spend(request.service().name(), nodes(), System.nanoTime());
            LOG.write(NodeEvent.ATTEMPT_FAILED, request.caller().id(), runner.id(), dispatch.sends(), outcome, repeat);
            if (!repeat) {
                return finish(runner, dispatch, outcome, progress, reply);
            }
        }
    }

    private Placement place(ActiveRequest request, Dispatch dispatch, Reply reply)
            throws RefusedException, CallerGoneException {
        try {
            return placer.place(request, dispatch.excluded(), dispatch.latestStartNanos());
        } catch (InterruptedException e) {
            throw new CallerGoneException("the caller has left", e);
        } catch (RefusedException e) {
            if (reply.begun()) {
                reply.abort();
                throw new RefusedException(Refusal.outcomeUnknown("stream broken off: " + e.getMessage()));
            }
            throw dispatch.mayHaveRun() ? new RefusedException(Refusal.outcomeUnknown(e.getMessage())) : e;
        }
    }

    /** Returns how many nodes may spend from the budget, also such as this one does not see. */
    private int nodes() {
        return Math.max(LEAST_NODES, fleet.mostPeers());
    }

    private void observe(Runner runner, ActiveRequest request, Outcome outcome) {
        switch (outcome) {
            case Outcome.NotRun notRun -> observeNotRun(runner, request, notRun.cause());
            case Outcome.Unknown unknown -> placer.failed(runner);
            case Outcome.RanWithError error -> {}
            case Outcome.Delivered delivered -> {}
        }
    }

    private void observeNotRun(Runner runner, ActiveRequest request, Outcome.Cause cause) {
        Optional<ModelRef> model = request.caller().model();
        switch (cause) {
            case FULL -> placer.full(runner);
            case UNREACHABLE -> placer.unreachable(runner);
            case MISDIRECTED ->
                model.ifPresentOrElse(lacking -> placer.lacks(runner, lacking), () -> placer.unreachable(runner));
            default -> throw new IllegalStateException("unknown cause " + cause);
        }
    }

    private Served finish(Runner runner, Dispatch dispatch, Outcome outcome, StreamProgress progress, Reply reply)
            throws RefusedException, CallerGoneException {
        if (reply.begun()) {
            reply.abort();
            throw new RefusedException(Refusal.outcomeUnknown("stream broken off: " + outcome));
        }
        switch (outcome) {
            case Outcome.RanWithError error -> {
                WholeAnswer answer = error.answer();
                reply.whole(answer.status(), answer.headers(), answer.body());
                return new Served(progress.firstMs());
            }
            case Outcome.NotRun notRun -> {
                if (dispatch.mayHaveRun()) {
                    throw new RefusedException(Refusal.outcomeUnknown(notRun.detail()));
                }
                throw new RefusedException(Refusal.notRun("not-run", notRun.detail(), RETRY_AFTER_MS));
            }
            case Outcome.Unknown unknown ->
                throw new RefusedException(
                        unknown.late() ? Refusal.timeout(unknown.detail()) : Refusal.outcomeUnknown(unknown.detail()));
            case Outcome.Delivered delivered -> throw new IllegalStateException("a delivered answer is final");
        }
    }
}
