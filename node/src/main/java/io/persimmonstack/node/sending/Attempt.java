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

/** Sends a request to one runner and hands its answer on. */
final class Attempt {
    private static final int CONNECT_MS = 600;
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final int RUNNER_ERROR = 500;
    private static final int MAX_URGENCY = 9;
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
     * Sends the request and hands the answer on.
     *
     * @param silenceMs longest wait for the head and between parts, in milliseconds
     * @return how it ended
     * @throws CallerGoneException if the caller has left
     */
    Outcome run(long silenceMs) throws CallerGoneException {
        long leftMs = request.leftMs(System.nanoTime());
        if (leftMs <= 0) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, "no time left");
        }
        int waitMs = (int) Math.max(1, Math.min(leftMs, silenceMs));
        HttpTimeouts timeouts = HttpTimeouts.of((int) Math.min(CONNECT_MS, leftMs), waitMs, waitMs);
        try (HttpCall call = connector.open(
                runner.address(), protocol.encode(request.caller(), send(leftMs, progress.lastEventId())), timeouts)) {
            return answered(call);
        } catch (HttpFailure e) {
            return failed(e);
        }
    }

    private Send send(long leftMs, OptionalLong lastEventId) {
        int urgency = Math.clamp(request.route().priority(), 0, MAX_URGENCY);
        return new Send(runner.id(), leftMs, urgency, lastEventId);
    }

    private Outcome failed(HttpFailure e) throws CallerGoneException {
        if (Thread.interrupted()) {
            throw new CallerGoneException("the caller has left", e);
        }
        if (!e.sent()) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, e.getMessage());
        }
        return unknown(e.getMessage());
    }

    private Outcome.Unknown unknown(String detail) {
        return new Outcome.Unknown(detail, request.leftMs(System.nanoTime()) <= 0);
    }

    private Outcome answered(HttpCall call) throws HttpFailure, CallerGoneException {
        AnswerHead head = protocol.classify(call.status(), call.headers());
        return switch (head) {
            case FULL -> notRun(Outcome.Cause.FULL, call);
            case MISDIRECTED -> notRun(Outcome.Cause.MISDIRECTED, call);
            case FORGED -> unknown(runner.id() + ": status " + call.status() + " without the mark of a runner");
            case RAN -> request.isStream() && call.status() < RUNNER_ERROR ? stream(call) : whole(call);
        };
    }

    /** Reads the rest of a refusal, so that its connection can be used again. */
    private Outcome notRun(Outcome.Cause cause, HttpCall call) {
        int status = call.status();
        try {
            call.readAll(MAX_ANSWER_BYTES);
        } catch (HttpFailure e) {
            return new Outcome.NotRun(cause, runner.id() + ": status " + status + ", body lost: " + e.getMessage());
        }
        return new Outcome.NotRun(cause, runner.id() + ": status " + status);
    }

    private Outcome whole(HttpCall call) throws HttpFailure, CallerGoneException {
        byte[] body = call.readAll(MAX_ANSWER_BYTES);
        WholeAnswer answer = new WholeAnswer(call.status(), Hop.forReply(call.headers()), body);
        if (call.status() >= RUNNER_ERROR) {
            return new Outcome.RanWithError(answer);
        }
        reply.whole(answer.status(), answer.headers(), answer.body());
        return new Outcome.Delivered();
    }

    private Outcome stream(HttpCall call) throws CallerGoneException {
        EventReader events = EventReader.of(call.body());
        try {
            for (Optional<EventReader.StreamEvent> event = events.next(); event.isPresent(); event = events.next()) {
                if (!progress.accepts(event.get())) {
                    continue;
                }
                if (progress.isOutOfOrder(event.get())) {
                    return unknown(runner.id() + ": event " + event.get().id() + " after " + progress.lastEventId());
                }
                if (!reply.begun()) {
                    reply.begin(call.status(), Hop.forReply(call.headers()));
                }
                if (request.route().resumable()) {
                    call.shortenProgressTimeout(Dispatch.NEXT_EVENT_MS);
                }
                reply.write(event.get().bytes());
                progress.delivered(event.get());
            }
        } catch (IOException e) {
            return unknown(
                    runner.id() + ": stream broke after event " + progress.lastEventId() + ": " + e.getMessage());
        }
        if (!reply.begun()) {
            reply.begin(call.status(), Hop.forReply(call.headers()));
        }
        reply.end();
        return new Outcome.Delivered();
    }
}
