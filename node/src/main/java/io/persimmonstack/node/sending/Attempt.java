package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

/** One attempt at a request: sends it to a runner and forwards the answer to the caller. */
final class Attempt {
    private static final int CONNECT_TIMEOUT_MS = 600;
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    /** Least urgent priority that the protocol of the runners allows. */
    private static final int LEAST_URGENT = 9;

    private final HttpConnector connector;
    private final RunnerProtocol protocol;
    private final ActiveRequest request;
    private final StreamProgress progress;
    private final Reply reply;
    private final Runner runner;

    private Attempt(
            HttpConnector connector,
            RunnerProtocol protocol,
            ActiveRequest request,
            StreamProgress progress,
            Reply reply,
            Runner runner) {
        this.connector = connector;
        this.protocol = protocol;
        this.request = request;
        this.progress = progress;
        this.reply = reply;
        this.runner = runner;
    }

    static Attempt of(
            HttpConnector connector,
            RunnerProtocol protocol,
            ActiveRequest request,
            StreamProgress progress,
            Reply reply,
            Runner runner) {
        return new Attempt(connector, protocol, request, progress, reply, runner);
    }

    /**
     * Sends the request and forwards the answer. A server error is returned, not forwarded, since another attempt may
     * follow.
     *
     * @param idleTimeoutMs longest wait for the head of the answer and between its parts, in milliseconds
     * @return how the attempt ended
     * @throws CallerGoneException if the caller has disconnected
     */
    Outcome run(long idleTimeoutMs) throws CallerGoneException {
        long remainingMs = request.remainingMs(System.nanoTime());
        if (remainingMs <= 0) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, "no time left");
        }
        int waitMs = (int) Math.max(1, Math.min(remainingMs, idleTimeoutMs));
        HttpTimeouts timeouts = HttpTimeouts.of((int) Math.min(CONNECT_TIMEOUT_MS, remainingMs), waitMs, waitMs);
        try (HttpCall call = connector.open(
                runner.address(),
                protocol.encode(request.callerRequest(), sendOptions(remainingMs, progress.lastEventId())),
                timeouts)) {
            return outcomeOfAnswer(call);
        } catch (HttpFailure e) {
            return outcomeOfFailure(e);
        }
    }

    private SendOptions sendOptions(long remainingMs, OptionalLong lastEventId) {
        int urgency = Math.clamp(request.route().priority(), 0, LEAST_URGENT);
        return new SendOptions(runner.id(), remainingMs, urgency, lastEventId);
    }

    private Outcome outcomeOfFailure(HttpFailure e) throws CallerGoneException {
        if (Thread.interrupted()) {
            throw new CallerGoneException("the caller has left", e);
        }
        if (!e.sent()) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, e.getMessage());
        }
        return unknown(e.getMessage());
    }

    private Outcome.Unknown unknown(String detail) {
        return new Outcome.Unknown(detail, request.remainingMs(System.nanoTime()) <= 0);
    }

    private Outcome outcomeOfAnswer(HttpCall call) throws HttpFailure, CallerGoneException {
        AnswerHead head = protocol.classify(call.status(), call.headers());
        return switch (head) {
            case FULL -> refusedByRunner(Outcome.Cause.FULL, call);
            case MISDIRECTED -> refusedByRunner(Outcome.Cause.MISDIRECTED, call);
            case FORGED -> unknown(runner.id() + ": status " + call.status() + " without the mark of a runner");
            case RAN ->
                request.isStream() && call.status() < MIN_SERVER_ERROR_STATUS
                        ? deliverStream(call)
                        : deliverWhole(call);
        };
    }

    /** Reads the rest of the refusal, so that the connection can be reused. */
    private Outcome refusedByRunner(Outcome.Cause cause, HttpCall call) {
        int status = call.status();
        try {
            call.readAll(MAX_ANSWER_BYTES);
        } catch (HttpFailure e) {
            return new Outcome.NotRun(cause, runner.id() + ": status " + status + ", body lost: " + e.getMessage());
        }
        return new Outcome.NotRun(cause, runner.id() + ": status " + status);
    }

    private Outcome deliverWhole(HttpCall call) throws HttpFailure, CallerGoneException {
        byte[] body = call.readAll(MAX_ANSWER_BYTES);
        WholeAnswer answer = new WholeAnswer(call.status(), HopByHopHeaders.toReplyHeaders(call.headers()), body);
        if (call.status() >= MIN_SERVER_ERROR_STATUS) {
            return new Outcome.RanWithError(answer);
        }
        reply.whole(answer.status(), answer.headers(), answer.body());
        return new Outcome.Delivered();
    }

    private Outcome deliverStream(HttpCall call) throws CallerGoneException {
        EventReader events = EventReader.of(call.body());
        try {
            for (Optional<EventReader.StreamEvent> event = events.next(); event.isPresent(); event = events.next()) {
                if (!progress.isNew(event.get())) {
                    continue;
                }
                if (progress.followsGap(event.get())) {
                    return unknown(runner.id() + ": event " + event.get().id() + " after " + progress.lastEventId());
                }
                if (!reply.begun()) {
                    reply.begin(call.status(), HopByHopHeaders.toReplyHeaders(call.headers()));
                }
                if (request.route().resumable()) {
                    call.shortenProgressTimeout(RetryState.NEXT_EVENT_TIMEOUT_MS);
                }
                reply.write(event.get().bytes());
                progress.recordDelivered(event.get());
            }
        } catch (IOException e) {
            return unknown(
                    runner.id() + ": stream broke after event " + progress.lastEventId() + ": " + e.getMessage());
        }
        if (!reply.begun()) {
            reply.begin(call.status(), HopByHopHeaders.toReplyHeaders(call.headers()));
        }
        reply.end();
        return new Outcome.Delivered();
    }
}
