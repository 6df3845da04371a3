package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.pace.PaceKey;
import io.persimmonstack.node.pace.PaceKind;
import io.persimmonstack.node.pace.PaceRecorder;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Measures the durations of one answer for the pace of its runner: of a stream the time to the first event and the mean
 * gap between events, of other requests the whole time. Not thread-safe.
 */
final class AnswerPace {
    /** Time over which gaps are averaged; a report to the leader then has at most one gap of each stream. */
    private static final long GAP_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Gaps in that time without which they do not count. */
    private static final int MIN_GAPS = 2;
    /** Time to write an event from which on a gap is the caller's, who reads slowly. */
    private static final long SLOW_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final double NANOS_PER_MS = 1e6;

    private final PaceRecorder recorder;
    private final ActiveRequest request;
    private final long tokensToRead;
    private Optional<PaceRecorder.Measurement> first = Optional.empty();
    private boolean answered;
    private long lastEventNanos;
    private boolean lastWriteSlow;
    private long gapNanos;
    private int gaps;

    private AnswerPace(PaceRecorder recorder, ActiveRequest request, long tokensToRead) {
        this.recorder = recorder;
        this.request = request;
        this.tokensToRead = tokensToRead;
    }

    /**
     * Returns the measurement of an answer.
     *
     * @param recorder receives the durations
     * @param request request that is answered
     * @param tokensToRead how much of the prompt the runner has to read, in tokens
     */
    static AnswerPace of(PaceRecorder recorder, ActiveRequest request, long tokensToRead) {
        return new AnswerPace(recorder, request, tokensToRead);
    }

    /** Starts the measurement of the first event or the whole answer. */
    void requestSent(RunnerProcess process, long nowNanos) {
        PaceKind kind = request.isStream() ? PaceKind.FIRST_EVENT : PaceKind.WHOLE;
        first = Optional.of(recorder.begin(process, key(kind, tokensToRead), nowNanos));
    }

    /** Records that an event has arrived. */
    void eventArrived(RunnerProcess process, long nowNanos) {
        if (answered) {
            addGap(process, nowNanos);
        } else {
            answered = true;
            first.ifPresent(measurement -> recorder.finish(measurement, nowNanos));
        }
        lastEventNanos = nowNanos;
    }

    /** Records that the event that arrived last has been written to the caller. */
    void eventWritten(long nowNanos) {
        lastWriteSlow = nowNanos - lastEventNanos > SLOW_WRITE_NANOS;
    }

    private void addGap(RunnerProcess process, long nowNanos) {
        if (lastWriteSlow) {
            return;
        }
        gapNanos += nowNanos - lastEventNanos;
        gaps++;
        if (gapNanos >= GAP_PERIOD_NANOS) {
            if (gaps >= MIN_GAPS) {
                recorder.record(process, key(PaceKind.GAP, 0), gapNanos / NANOS_PER_MS / gaps);
            }
            gapNanos = 0;
            gaps = 0;
        }
    }

    /** Records that the whole answer has arrived. */
    void wholeArrived(long nowNanos) {
        first.ifPresent(measurement -> recorder.finish(measurement, nowNanos));
    }

    /** Records that the answer was given up, unless it has begun. */
    void givenUp(long nowNanos) {
        first.ifPresent(measurement -> recorder.abandon(measurement, nowNanos));
    }

    /** Ends the measurements without a result, where the runner has refused the request or failed. */
    void end() {
        first.ifPresent(recorder::cancel);
    }

    private PaceKey key(PaceKind kind, long tokens) {
        return PaceKey.of(request.service().name(), request.route().name(), kind, tokens);
    }
}
