package io.persimmonstack.router.filter;

import com.codahale.metrics.Timer;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.backends.http.SilenceWatcher;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.request.AnswerPart;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.StreamOrigin;
import io.persimmonstack.router.request.Successor;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.Target;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Sends a request to its target once and waits for the head of the answer. The call, including the relay of the answer,
 * is cancelled at the deadline.
 */
public final class DispatchFilter implements Filter {
    /** Header in which the process that answers tells the version of its software. */
    static final String SOFTWARE_VERSION = "X-Software-Version";

    private static final EventLog LOG = EventLog.of(DispatchFilter.class);
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpConnector connector;
    private final DispatchTimeouts timeouts;
    private final TargetRequestBuilder requestBuilder;
    private final Admission admission;
    private final SuccessorFinder successors;
    private final RequestHedger hedger;
    private final ScheduledExecutorService scheduler;
    private final RouterMetrics metrics;

    private DispatchFilter(
            HttpConnector connector,
            DispatchTimeouts timeouts,
            Tracing tracing,
            Admission admission,
            SuccessorFinder successors,
            RequestHedger hedger,
            ScheduledExecutorService scheduler,
            RouterMetrics metrics) {
        this.connector = connector;
        this.timeouts = timeouts;
        this.requestBuilder = TargetRequestBuilder.of(tracing);
        this.admission = admission;
        this.successors = successors;
        this.hedger = hedger;
        this.scheduler = scheduler;
        this.metrics = metrics;
    }

    /**
     * Returns the filter.
     *
     * @param connector connections to targets
     * @param timeouts timeouts of a call
     * @param tracing supplies the trace headers for the target
     * @param admission measures and predicts service times
     * @param successors reserves the next attempt while a target is silent
     * @param hedger sends late requests to a second target
     * @param scheduler cancels calls at their deadline
     * @param metrics receives times and counts
     * @return the filter
     */
    public static DispatchFilter of(
            HttpConnector connector,
            DispatchTimeouts timeouts,
            Tracing tracing,
            Admission admission,
            SuccessorFinder successors,
            RequestHedger hedger,
            ScheduledExecutorService scheduler,
            RouterMetrics metrics) {
        return new DispatchFilter(connector, timeouts, tracing, admission, successors, hedger, scheduler, metrics);
    }

    @Override
    public String name() {
        return "dispatch";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        Optional<IdleConnection> connection = request.takeSuccessor().map(Successor::connection);
        if (request.remainingMs() == 0) {
            connection.ifPresent(IdleConnection::close);
            throw new AttemptException(AttemptException.Kind.EXPIRED, "the deadline passed before dispatch", null);
        }
        request.awaitedPart(AnswerPart.HEAD);
        long startNanos = System.nanoTime();
        try (Timer.Context ignored = metrics.dispatchTime().time();
                HttpCall call = openCall(request, connection)) {
            Future<?> deadlineTimer = scheduler.schedule(call::cancel, request.remainingMs(), TimeUnit.MILLISECONDS);
            try {
                request.answer(call);
                requireUsableAnswer(request, request.reservation().orElseThrow(), call);
                requireVersionOfStream(request, request.reservation().orElseThrow(), call);
                next.proceed(request);
            } finally {
                deadlineTimer.cancel(false);
            }
        }
        Reservation reservation = request.reservation().orElseThrow();
        reservation.state().recordSuccess(reservation.target().maxConcurrent());
        admission.recordServiceTime(request.work(), System.nanoTime() - startNanos);
    }

    private HttpCall openCall(Request request, Optional<IdleConnection> connection)
            throws RouterException, InterruptedException {
        try {
            return hedger.mayHedge(request)
                    ? hedger.open(
                            request,
                            reservation -> prepareCall(request, reservation, true, connection),
                            timeouts.headSilenceMs(request, admission.serviceMs(request.work())))
                    : prepareCall(request, request.reservation().orElseThrow(), false, connection)
                            .open();
        } catch (HttpFailure e) {
            throw toAttemptException(request, e, metrics);
        }
    }

    private RequestHedger.CallOpener prepareCall(
            Request request, Reservation reservation, boolean hedged, Optional<IdleConnection> connection) {
        HttpTimeouts httpTimeouts = timeouts.forAttempt(request);
        PeerAddress address = reservation.target().address();
        HttpRequest targetRequest = requestBuilder.build(request);
        SilenceWatcher watcher = TargetSilence.of(
                request, reservation, timeouts, admission.serviceMs(request.work()), hedged, successors);
        if (connection.isPresent()) {
            return () -> connection.get().open(targetRequest, httpTimeouts, watcher);
        }
        return needsNewConnection(request)
                ? () -> connector.openOnNewConnection(address, targetRequest, httpTimeouts, watcher)
                : () -> connector.open(address, targetRequest, httpTimeouts, watcher);
    }

    /** Avoids idle connections, which may be dead undetected, for at-most-once requests and resumed streams. */
    private static boolean needsNewConnection(Request request) {
        return !request.grant().repeatable() || request.relayed().tokens() > 0;
    }

    /**
     * Classifies a failed call by what it says about the request.
     *
     * @throws InterruptedException if the call was cancelled because the handling thread was interrupted
     */
    static AttemptException toAttemptException(Request request, HttpFailure e, RouterMetrics metrics)
            throws InterruptedException {
        if (e.kind() == HttpFailure.Kind.CANCELLED && Thread.interrupted()) {
            throw new InterruptedException(e.getMessage());
        }
        if (e.kind() == HttpFailure.Kind.MISMATCH) {
            metrics.mismatchedAnswers().inc();
            LOG.write(RouterEvent.ANSWER_CROSSED, request.id(), e.getMessage());
        }
        if (!e.sent()) {
            return new AttemptException(AttemptException.Kind.NOT_SENT, e.getMessage(), e);
        }
        if (request.remainingMs() == 0) {
            return new AttemptException(AttemptException.Kind.DEADLINE, e.getMessage(), e);
        }
        boolean silent =
                e.kind() == HttpFailure.Kind.FIRST_BYTE_TIMEOUT || e.kind() == HttpFailure.Kind.PROGRESS_TIMEOUT;
        AttemptException.Kind kind = silent ? AttemptException.Kind.SILENT : AttemptException.Kind.BROKEN;
        return new AttemptException(kind, e.getMessage(), e);
    }

    /**
     * Fails the attempt if the target refused the request without running it, or if it failed a repeatable request; any
     * other answer is relayed. Updates the state of a target that is leaving, full or lacks the model.
     */
    private static void requireUsableAnswer(Request request, Reservation reservation, HttpCall call)
            throws AttemptException {
        int status = call.status();
        boolean leaving =
                status == SERVICE_UNAVAILABLE && call.header("X-Leaving").isPresent();
        if (leaving) {
            reservation.state().markLeaving(System.nanoTime());
        }
        boolean toEngine = request.work() instanceof Work.Completion;
        if (toEngine && status == TOO_MANY_REQUESTS) {
            reservation.state().markFull(System.nanoTime());
        }
        if (toEngine && status == NOT_FOUND) {
            reservation.state().markAbsent(request.work().resourceName(), System.nanoTime());
        }
        boolean resumeRefused = status == CONFLICT && request.relayed().tokens() > 0;
        boolean refusedWithoutRunning =
                toEngine && (leaving || status == TOO_MANY_REQUESTS || status == NOT_FOUND || resumeRefused);
        if (refusedWithoutRunning || (leaving && request.grant().repeatable())) {
            throw attemptFailure(AttemptException.Kind.REFUSED_BY_TARGET, reservation, status);
        }
        if (status >= INTERNAL_SERVER_ERROR && request.grant().repeatable()) {
            throw attemptFailure(AttemptException.Kind.BROKEN, reservation, status);
        }
    }

    /**
     * Records where the answer comes from. Fails the attempt if it is to go on with a stream that another software
     * version began; the process that answers may be newer than what the view shows of its target.
     */
    private static void requireVersionOfStream(Request request, Reservation reservation, HttpCall call)
            throws AttemptException {
        Target target = reservation.target();
        Optional<String> told = call.header(SOFTWARE_VERSION).filter(version -> !version.isBlank());
        told.ifPresent(version -> reservation.state().recordSoftwareVersion(target, version));
        Optional<String> found = told.or(() -> reservation.state().softwareVersion(target));
        request.answerOrigin(new StreamOrigin(target, found));
        Optional<StreamOrigin> origin = request.targetFilter().origin();
        if (origin.isEmpty()) {
            return;
        }
        boolean fits = origin.get().fits(target, found);
        LOG.write(
                fits ? RouterEvent.STREAM_RESUMED : RouterEvent.VERSION_DIFFERS,
                request.id(),
                request.relayed().tokens(),
                target.id(),
                origin.get().versionText(),
                StreamOrigin.text(found));
        if (!fits) {
            String message = "%s is of software version %s; the stream began at %s"
                    .formatted(
                            target.id(), StreamOrigin.text(found), origin.get().name());
            throw new AttemptException(AttemptException.Kind.OTHER_VERSION, message, null);
        }
    }

    private static AttemptException attemptFailure(AttemptException.Kind kind, Reservation reservation, int status) {
        String target =
                reservation.target().id() + " at " + reservation.target().address();
        return new AttemptException(kind, target + " answered " + status, null);
    }
}
