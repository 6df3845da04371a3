package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.SilenceWatcher;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.pace.PaceRecorder;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.Reply;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One attempt at a request: sends it to a runner and forwards the answer to the caller. A runner that falls silent is
 * kept until a successor has begun to answer. Not thread-safe.
 */
final class Attempt implements SilenceWatcher {
    private static final int CONNECT_TIMEOUT_MS = 600;
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    /** Largest body of a refusal for which its connection is kept. */
    private static final int MAX_REFUSAL_BYTES = 8 * 1024;
    /** Longest wait for the body of a refusal; the request waits for its next runner meanwhile. */
    private static final int REFUSAL_BODY_TIMEOUT_MS = 100;

    private static final int OK = 200;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    /** Time after the deadline that a silent stream is kept open. */
    private static final int LATE_STREAM_TIMEOUT_MS = 250;
    /** Connections that are tried in place of closed ones; a restarted runner has closed all that were idle. */
    private static final int MAX_RECONNECTIONS = 20;

    private final HttpConnector connector;
    private final RunnerProtocol protocol;
    private final ActiveRequest request;
    private final StreamProgress progress;
    private final OriginRecorder origin;
    private final Reply reply;
    private final ReservedRunner reserved;
    private final AnswerHeadReader heads;
    private final SendCheck sendCheck;
    private final SuccessorFinder successors;
    private final AnswerPace pace;
    /** Process that gets the request, empty if it is not known. */
    private Optional<RunnerProcess> process;

    private Optional<ReservedRunner> successor = Optional.empty();
    private boolean refused;
    private int reconnections;
    private long lastReceivedNanos;

    private Attempt(
            HttpConnector connector,
            RunnerProtocol protocol,
            ActiveRequest request,
            StreamProgress progress,
            OriginRecorder origin,
            Reply reply,
            ReservedRunner reserved,
            AnswerHeadReader heads,
            SendCheck sendCheck,
            SuccessorFinder successors,
            AnswerPace pace) {
        this.connector = connector;
        this.protocol = protocol;
        this.request = request;
        this.progress = progress;
        this.origin = origin;
        this.reply = reply;
        this.reserved = reserved;
        this.heads = heads;
        this.sendCheck = sendCheck;
        this.successors = successors;
        this.pace = pace;
        this.process = reserved.process();
    }

    static Attempt of(
            HttpConnector connector,
            RunnerProtocol protocol,
            ActiveRequest request,
            StreamProgress progress,
            OriginRecorder origin,
            Reply reply,
            ReservedRunner reserved,
            AnswerHeadReader heads,
            SendCheck sendCheck,
            SuccessorFinder successors,
            PaceRecorder paces) {
        AnswerPace pace = AnswerPace.of(paces, request, reserved.placement().tokensToRead());
        return new Attempt(
                connector, protocol, request, progress, origin, reply, reserved, heads, sendCheck, successors, pace);
    }

    /**
     * Sends the request and forwards the answer. A server error is returned, not forwarded, since another attempt may
     * follow.
     *
     * @return how the attempt ended; if the thread is interrupted, because the caller has disconnected
     * @throws CallerGoneException if the caller has disconnected
     */
    Outcome run() throws CallerGoneException {
        lastReceivedNanos = System.nanoTime();
        long remainingMs = request.remainingMs(lastReceivedNanos);
        if (remainingMs <= 0) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, "no time left");
        }
        try (HttpCall call = open(remainingMs)) {
            lastReceivedNanos = System.nanoTime();
            limitSilence(call);
            return outcomeOfAnswer(call);
        } catch (HttpFailure e) {
            return outcomeOfFailure(e);
        } finally {
            pace.end();
        }
    }

    /** Returns the call whose head has arrived: that of a successor, which has the request already, or a new one. */
    private HttpCall open(long remainingMs) throws HttpFailure {
        if (reserved.call().isPresent()) {
            reserved.call().get().watch(this);
            return reserved.call().get();
        }
        if (progress.lastEventId().isEmpty()) {
            pace.requestSent(process(), System.nanoTime());
        }
        int waitMs = (int) Math.min(Integer.MAX_VALUE, remainingMs);
        HttpTimeouts timeouts = HttpTimeouts.of(Math.min(CONNECT_TIMEOUT_MS, waitMs), waitMs, waitMs);
        return reserved.connection().isPresent()
                ? openOn(reserved.connection().get(), timeouts)
                : connector.open(runner().address(), encode(runner()), timeouts, this);
    }

    /** Sends the request on a connection, or on another one to a known process if it was closed meanwhile. */
    private HttpCall openOn(RunnerConnection connection, HttpTimeouts timeouts) throws HttpFailure {
        try {
            return connection.idle().open(encode(runner()), timeouts, this);
        } catch (HttpFailure e) {
            if (e.sent() || e.kind() != HttpFailure.Kind.LOST || reconnections++ == MAX_RECONNECTIONS) {
                throw e;
            }
            return openAgain(timeouts, e);
        }
    }

    private HttpCall openAgain(HttpTimeouts timeouts, HttpFailure closed) throws HttpFailure {
        SendPermit permit = sendCheck.check(runner(), request, origin);
        boolean sendable = permit instanceof SendPermit.Granted || permit instanceof SendPermit.Unidentified;
        if (!sendable || !reserved.prompt().maySendAgain()) {
            permit.connection().ifPresent(RunnerConnection::close);
            throw closed;
        }
        process = permit.connection().map(RunnerConnection::process);
        return permit.connection().isPresent()
                ? openOn(permit.connection().get(), timeouts)
                : connector.open(runner().address(), encode(runner()), timeouts, this);
    }

    /** Encodes the request for a runner, or the rest of a stream that has begun. */
    private HttpRequest encode(Runner target) {
        long remainingMs = request.remainingMs(System.nanoTime());
        int urgency = request.priority().atRunner();
        return protocol.encode(
                request.callerRequest(), new SendOptions(target.id(), remainingMs, urgency, progress.lastEventId()));
    }

    private Runner runner() {
        return reserved.runner();
    }

    /** Returns the process that got the request: by its connection or, if that is not known, by the runner's entry. */
    RunnerProcess process() {
        return process.orElseGet(() -> runner().process());
    }

    /** Returns how long the runner has sent nothing, in milliseconds. */
    long silentMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReceivedNanos);
    }

    @Override
    public int silentAfterMs() {
        return successors.silentAfterMs(progress.hasStarted());
    }

    @Override
    public boolean giveUp(SilentPeer peer) {
        if (refused) {
            // The rest of a refusal is read only for its connection.
            return true;
        }
        successor = successors.find(runner(), peer, this::encode);
        return successor.isPresent();
    }

    private Outcome outcomeOfFailure(HttpFailure e) {
        if (!e.sent() && successor.isEmpty()) {
            return new Outcome.NotRun(Outcome.Cause.UNREACHABLE, e.getMessage());
        }
        return broken(e.getMessage());
    }

    /** Returns the outcome of an attempt whose answer is incomplete: it broke, or a successor replaces the runner. */
    private Outcome broken(String detail) {
        pace.givenUp(System.nanoTime());
        return successor.isPresent() ? new Outcome.Replaced(successor.get(), detail) : unknown(detail);
    }

    private Outcome.Unknown unknown(String detail) {
        return new Outcome.Unknown(detail, request.remainingMs(System.nanoTime()) <= 0);
    }

    private Outcome outcomeOfAnswer(HttpCall call) throws HttpFailure, CallerGoneException {
        AnswerHead head = heads.read(runner(), call);
        return switch (head) {
            case FULL -> refusedByRunner(Outcome.Cause.FULL, call);
            case MISDIRECTED -> refusedByRunner(Outcome.Cause.MISDIRECTED, call);
            case FORGED -> unknown(runner().id() + ": status " + call.status() + " without the mark of a runner");
            case RAN -> request.isStream() && call.isSuccess() ? deliverStream(call) : deliverWhole(call);
        };
    }

    /** Reads the rest of the refusal, so that the connection can be reused. */
    private Outcome refusedByRunner(Outcome.Cause cause, HttpCall call) {
        refused = true;
        int status = call.status();
        try {
            call.readAll(MAX_REFUSAL_BYTES, REFUSAL_BODY_TIMEOUT_MS);
        } catch (HttpFailure e) {
            return new Outcome.NotRun(cause, runner().id() + ": status " + status + ", body lost: " + e.getMessage());
        }
        return new Outcome.NotRun(cause, runner().id() + ": status " + status);
    }

    private Outcome deliverWhole(HttpCall call) throws HttpFailure, CallerGoneException {
        int waitMs = (int) Math.clamp(request.remainingMs(System.nanoTime()), 1, Integer.MAX_VALUE);
        byte[] body = call.readAll(MAX_ANSWER_BYTES, waitMs);
        if (call.isSuccess()) {
            pace.wholeArrived(System.nanoTime());
        }
        WholeAnswer answer = new WholeAnswer(call.status(), HopByHopHeaders.toReplyHeaders(call.headers()), body);
        if (call.status() >= MIN_SERVER_ERROR_STATUS) {
            return new Outcome.RanWithError(answer);
        }
        if (reply.begun()) {
            return unknown(runner().id() + ": status " + call.status() + " in place of the rest of the stream");
        }
        reserved.prompt().answerBegun();
        reply.whole(answer.status(), answer.headers(), answer.body());
        return new Outcome.Delivered();
    }

    private Outcome deliverStream(HttpCall call) throws CallerGoneException {
        boolean continues = reply.begun();
        if (continues && call.status() != OK) {
            return unknown(runner().id() + ": status " + call.status() + " in place of the rest of the stream");
        }
        OptionalLong lastId = OptionalLong.empty();
        EventReader events = EventReader.of(call.body());
        call.beginUnit();
        try {
            for (Optional<EventReader.StreamEvent> event = events.next(); event.isPresent(); event = events.next()) {
                lastReceivedNanos = System.nanoTime();
                pace.eventArrived(process(), lastReceivedNanos);
                reserved.prompt().answerBegun();
                lastId = event.get().id();
                Optional<Outcome> end = deliverEvent(call, event.get(), continues);
                if (end.isPresent()) {
                    return end.get();
                }
            }
        } catch (IOException e) {
            return broken(
                    runner().id() + ": stream broke after event " + progress.lastEventId() + ": " + e.getMessage());
        }
        if (continues && lastId.isPresent() && !lastId.equals(progress.lastEventId())) {
            return unknown(runner().id() + ": ended at event " + lastId + " before " + progress.lastEventId());
        }
        beginReply(call);
        reply.end();
        return new Outcome.Delivered();
    }

    /**
     * Passes an event on, unless the caller has it already. Returns the outcome of the attempt if the event cannot
     * follow what the caller has, empty otherwise.
     */
    private Optional<Outcome> deliverEvent(HttpCall call, EventReader.StreamEvent event, boolean continues)
            throws CallerGoneException, IOException {
        if (continues && event.id().isEmpty()) {
            return Optional.of(unknown(runner().id() + ": text that is no event in place of the rest of the stream"));
        }
        if (!progress.isNew(event)) {
            return Optional.empty();
        }
        if (progress.followsGap(event)) {
            return Optional.of(unknown(runner().id() + ": event " + event.id() + " after " + progress.lastEventId()));
        }
        beginReply(call);
        origin.beforeEvent(process);
        reply.write(event.bytes());
        progress.recordDelivered(event);
        pace.eventWritten(System.nanoTime());
        limitSilence(call);
        call.beginUnit();
        return Optional.empty();
    }

    private void beginReply(HttpCall call) throws CallerGoneException {
        if (!reply.begun()) {
            reply.begin(call.status(), HopByHopHeaders.toReplyHeaders(call.headers()));
        }
    }

    /** Ends a stream that is silent when its deadline passes; one whose events still arrive is delivered to its end. */
    private void limitSilence(HttpCall call) {
        long remainingMs = request.remainingMs(System.nanoTime());
        call.shortenProgressTimeout((int) Math.clamp(remainingMs, LATE_STREAM_TIMEOUT_MS, Integer.MAX_VALUE));
    }
}
