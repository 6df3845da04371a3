package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.backends.http.SilenceWatcher;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.Placement;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.prompts.PromptGuard;
import io.persimmonstack.node.prompts.PromptPermit;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.function.Function;

/**
 * Finds another runner for a request whose runner is silent. The silent runner may be sound, so it is kept until the
 * other one has begun to answer, or has not refused the request for a moment. An attempt, the retry budget, a free slot
 * and a connection are needed first, and an answer to a status request: a runner that is silent as well may refuse the
 * request once it goes on. Not thread-safe.
 */
final class SuccessorFinder {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(SuccessorFinder.class));
    /** Timeout for connecting to the successor; events of the silent runner wait meanwhile. */
    private static final int CONNECT_TIMEOUT_MS = 100;
    /** Timeout for the successor to tell its process; events of the silent runner wait meanwhile. */
    private static final int ANSWER_TIMEOUT_MS = 250;
    /** The same before the first event or a whole answer, when less waits. */
    private static final int NEW_STREAM_ANSWER_TIMEOUT_MS = 1_000;
    /** Longest time for which both runners may work on the request. */
    private static final int MAX_OVERLAP_MS = 200;

    private final ActiveRequest request;
    private final RetryState retryState;
    private final OriginRecorder origin;
    private final Placer placer;
    private final HttpConnector connector;
    private final AnswerHeadReader heads;
    private final SendCheck sendCheck;
    private final PromptGuard prompts;
    private final ServiceRetries retries;
    private String missing = "";

    private SuccessorFinder(
            ActiveRequest request,
            RetryState retryState,
            OriginRecorder origin,
            Placer placer,
            HttpConnector connector,
            AnswerHeadReader heads,
            SendCheck sendCheck,
            PromptGuard prompts,
            ServiceRetries retries) {
        this.request = request;
        this.retryState = retryState;
        this.origin = origin;
        this.placer = placer;
        this.connector = connector;
        this.heads = heads;
        this.sendCheck = sendCheck;
        this.prompts = prompts;
        this.retries = retries;
    }

    /**
     * Returns a finder for one request.
     *
     * @param request request being served
     * @param retryState attempts so far
     * @param origin where its stream began
     * @param placer finds a runner with a free slot
     * @param connector connects to the runner
     * @param heads classifies the head of its answer
     * @param sendCheck decides whether the request may be sent to it
     * @param prompts decides whether the request may be sent, by its prompt
     * @param retries retry budget of its service
     */
    static SuccessorFinder of(
            ActiveRequest request,
            RetryState retryState,
            OriginRecorder origin,
            Placer placer,
            HttpConnector connector,
            AnswerHeadReader heads,
            SendCheck sendCheck,
            PromptGuard prompts,
            ServiceRetries retries) {
        return new SuccessorFinder(request, retryState, origin, placer, connector, heads, sendCheck, prompts, retries);
    }

    /** Returns after how long without any data the runner of the present attempt counts as silent, in milliseconds. */
    int silentAfterMs(boolean streamStarted) {
        return retryState.silentAfterMs(streamStarted);
    }

    /**
     * Sends the request to another runner, without waiting for a free slot.
     *
     * @param silent runner of the present attempt
     * @param peer its connection
     * @param encoder encodes the request, from where the present attempt stands, for a runner
     * @return the successor, empty if the request stays with its runner or, once that is disconnected, if both failed
     */
    Optional<ReservedRunner> find(
            Runner silent, SilenceWatcher.SilentPeer peer, Function<Runner, HttpRequest> encoder) {
        if (!retryState.mayReplace(System.nanoTime())) {
            return keep(silent, "attempt");
        }
        if (!retries.allowed()) {
            return keep(silent, "budget");
        }
        if (origin.hasBegun() && origin.softwareVersion().isEmpty()) {
            return keep(silent, "software version");
        }
        Optional<Placement> placement = placer.placeNow(
                request, retryState.runnerFilter(origin.softwareVersion()).without(silent));
        if (placement.isEmpty()) {
            return keep(silent, "slot");
        }
        Optional<ReservedRunner> successor = connectAndSend(silent, peer, placement.get(), encoder);
        if (successor.isEmpty()) {
            placement.get().close();
        }
        return successor;
    }

    private Optional<ReservedRunner> connectAndSend(
            Runner silent, SilenceWatcher.SilentPeer peer, Placement placement, Function<Runner, HttpRequest> encoder) {
        Runner runner = placement.runner();
        try (IdleConnection connection = connector.connect(runner.address(), CONNECT_TIMEOUT_MS)) {
            if (!peer.isStillSilent()) {
                return Optional.empty();
            }
            int answerMs = origin.hasBegun() ? ANSWER_TIMEOUT_MS : NEW_STREAM_ANSWER_TIMEOUT_MS;
            return switch (sendCheck.checkAnswering(runner, connection, request, origin, answerMs)) {
                case SendPermit.Withheld withheld -> {
                    placer.recordFull(runner);
                    yield keep(silent, "runner: " + withheld.reason());
                }
                case SendPermit.Unidentified unidentified -> keep(silent, "process: " + unidentified.reason());
                case SendPermit.Unreachable unreachable -> keep(silent, "connection: " + unreachable.reason());
                case SendPermit.Granted granted -> {
                    if (!peer.isStillSilent()) {
                        yield Optional.empty();
                    }
                    Optional<PromptPermit> prompt = prompts.admitUnsuspected(request.callerRequest());
                    if (prompt.isEmpty()) {
                        yield keep(silent, "prompt");
                    }
                    yield retries.trySpend()
                            ? send(silent, peer, placement, connection, granted, prompt.get(), encoder.apply(runner))
                            : keep(silent, "budget");
                }
            };
        } catch (HttpFailure e) {
            if (!Thread.currentThread().isInterrupted()) {
                placer.recordUnreachable(runner);
            }
            return keep(silent, "connection: " + e.getMessage());
        }
    }

    private Optional<ReservedRunner> send(
            Runner silent,
            SilenceWatcher.SilentPeer peer,
            Placement placement,
            IdleConnection connection,
            SendPermit.Granted permit,
            PromptPermit prompt,
            HttpRequest encoded) {
        Runner runner = placement.runner();
        retryState.recordSend(runner);
        int waitMs = (int) Math.clamp(request.remainingMs(System.nanoTime()), 1, Integer.MAX_VALUE);
        Overlap overlap = new Overlap(peer);
        try {
            HttpCall call = connection.open(encoded, HttpTimeouts.of(waitMs, waitMs, waitMs), overlap);
            AnswerHead head = heads.read(runner, call);
            if (head == AnswerHead.RAN && call.isSuccess() && overlap.endAtAnswer(request.isStream())) {
                return Optional.of(ReservedRunner.answering(placement, permit.connection(), prompt, call));
            }
            call.cancel();
            return keepAfterSend(silent, runner, head, call.status());
        } catch (HttpFailure e) {
            if (e.sent()) {
                retryState.recordPossibleRun(runner);
                placer.recordFailure(runner);
            }
            return keep(silent, "answer: " + e.getMessage());
        }
    }

    /** Time in which two runners have the request: at its end, the one that has not spoken is disconnected. */
    private static final class Overlap implements SilenceWatcher {
        private final SilentPeer silent;
        private boolean ended;

        private Overlap(SilentPeer silent) {
            this.silent = silent;
        }

        /** Disconnects the silent runner, unless it has spoken; returns whether it is disconnected. */
        private boolean end() {
            if (!ended && silent.isStillSilent()) {
                ended = true;
                silent.disconnect();
            }
            return ended;
        }

        /**
         * Ends the time at the head of the successor's answer; returns whether that answer is used. A stream goes on at
         * the successor even if the silent runner has spoken: both would work on it otherwise, one of them in vain. The
         * head of a whole answer comes when the work is done, so the first one is used.
         */
        private boolean endAtAnswer(boolean stream) {
            if (!ended && stream) {
                ended = true;
                silent.disconnect();
            }
            return end();
        }

        @Override
        public int silentAfterMs() {
            return MAX_OVERLAP_MS;
        }

        @Override
        public boolean giveUp(SilentPeer successor) {
            return !end();
        }
    }

    /** Records what became of a successor that is not used. */
    private Optional<ReservedRunner> keepAfterSend(Runner silent, Runner successor, AnswerHead head, int status) {
        switch (head) {
            case FULL, MISDIRECTED -> placer.recordFull(successor);
            case RAN, FORGED -> retryState.recordPossibleRun(successor);
            default -> throw new IllegalStateException("unknown head " + head);
        }
        return keep(silent, "answer: status " + status);
    }

    /** Logs what a successor lacks, once for each new reason. */
    private Optional<ReservedRunner> keep(Runner silent, String reason) {
        if (!missing.equals(reason)) {
            missing = reason;
            LOG.write(
                    NodeEvent.RUNNER_SILENT,
                    request.callerRequest().id(),
                    silent.id(),
                    request.remainingMs(System.nanoTime()),
                    reason);
        }
        return Optional.empty();
    }
}
