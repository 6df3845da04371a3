package io.persimmonstack.router.filter;

import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.Ran;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.StreamOrigin;
import io.persimmonstack.router.request.Successor;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Locale;
import java.util.Optional;

/**
 * Retries placement, dispatch and relay of repeatable requests within the retry budget, and turns the last failure into
 * a refusal that states whether the request may have run.
 */
public final class RetryFilter implements Filter {
    private static final EventLog LOG = EventLog.of(RetryFilter.class);
    private static final int MAX_ATTEMPTS = 3;
    /** Limit on attempts that targets refused without running them; these are not counted as failures. */
    private static final int MAX_TARGET_REFUSALS = 20;

    private static final long RETRY_AFTER_MS = 1_000;
    private final RetryBudget budget;
    private final RouterMetrics metrics;

    private RetryFilter(RetryBudget budget, RouterMetrics metrics) {
        this.budget = budget;
        this.metrics = metrics;
    }

    /** Returns a filter that takes its retries from the given budget and counts them. */
    public static RetryFilter of(RetryBudget budget, RouterMetrics metrics) {
        return new RetryFilter(budget, metrics);
    }

    @Override
    public String name() {
        return "retry";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        budget.earn();
        int targetRefusals = 0;
        boolean mayHaveRun = false;
        while (true) {
            try {
                next.proceed(request);
                return;
            } catch (AttemptException e) {
                mayHaveRun |= !e.provablyNotRun();
                if (e.turnedAway()) {
                    targetRefusals++;
                } else {
                    request.countFailedAttempt();
                }
                recordFailure(request, e);
                boolean replaced = e.kind() == AttemptException.Kind.SILENT
                        && request.successor().isPresent();
                boolean exhausted = request.failedAttempts() >= MAX_ATTEMPTS || targetRefusals >= MAX_TARGET_REFUSALS;
                if (replaced) {
                    request.reservation(request.successor().get().reservation());
                } else if (exhausted || !mayRetry(request, e)) {
                    request.takeSuccessor().ifPresent(Successor::close);
                    throw ended(request, toRefusal(request, e, mayHaveRun));
                }
                metrics.retries().inc();
            } catch (RefusalException e) {
                throw mayHaveRun ? ended(request, afterEarlierAttempt(e.refusal())) : e;
            }
        }
    }

    /** Logs the end of a stream that has begun, and returns the exception that carries the refusal. */
    private static RefusalException ended(Request request, Refusal refusal) {
        Optional<StreamOrigin> origin = request.targetFilter().origin();
        if (origin.isPresent()) {
            LOG.write(
                    RouterEvent.STREAM_ENDED,
                    request.id(),
                    request.relayed().tokens(),
                    origin.get().versionText(),
                    refusal.detail());
        }
        return refusal.exception();
    }

    /**
     * Logs the failure, updates the circuit of the target and releases the reservation, unless the next attempt uses
     * it. Later attempts avoid the target, except that a broken stream is resumed there once. A silent target that
     * accepts the connection for the next attempt has not failed.
     */
    private static void recordFailure(Request request, AttemptException e) {
        Reservation reservation = request.reservation().orElseThrow();
        String target = reservation.target().id();
        LOG.write(
                RouterEvent.TARGET_FAILED,
                target,
                StreamOrigin.text(reservation.state().softwareVersion(reservation.target())),
                request.id(),
                request.relayed().tokens(),
                e.getMessage());
        Optional<Reservation> successor = request.successor().map(Successor::reservation);
        boolean sameTarget = successor.isPresent() && successor.get() == reservation;
        if (!sameTarget && countsForCircuit(reservation, e.kind())) {
            long openMs = reservation.state().recordFailure(System.nanoTime());
            if (openMs > 0) {
                LOG.write(
                        RouterEvent.CIRCUIT_OPENED,
                        target,
                        openMs,
                        reservation.state().consecutiveFailures());
            }
        }
        if (!sameTarget) {
            reservation.close();
        }
        boolean broken = e.kind() == AttemptException.Kind.BROKEN || e.kind() == AttemptException.Kind.SILENT;
        boolean resumable = request.relayed().tokens() > 0 && broken;
        boolean elsewhere = successor.isPresent() && !sameTarget;
        if (elsewhere || !resumable || !request.takeSameTargetResume()) {
            request.excludeTarget(reservation.target());
        }
    }

    /** Returns whether a failure counts towards the circuit; a timeout does not if the target answers others. */
    private static boolean countsForCircuit(Reservation reservation, AttemptException.Kind kind) {
        return switch (kind) {
            case BROKEN, NOT_SENT -> true;
            case SILENT -> reservation.targetSilent();
            case REFUSED_BY_TARGET, OTHER_VERSION, EXPIRED, DEADLINE -> false;
        };
    }

    /** Returns whether to retry; spends retry budget unless the target turned the request away or did not run it. */
    private boolean mayRetry(Request request, AttemptException e) {
        boolean late = e.kind() == AttemptException.Kind.DEADLINE || request.remainingMs() == 0;
        if (late || !mayBeRepeated(request)) {
            return false;
        }
        return e.turnedAway() || e.provablyNotRun() || budget.spend();
    }

    /** Returns whether another attempt could follow the present one, apart from the retry budget. */
    static boolean mayFollow(Request request) {
        return request.failedAttempts() + 1 < MAX_ATTEMPTS && mayBeRepeated(request);
    }

    /** Returns whether another attempt could go on where the answer stands; one relayed in chunks has no such point. */
    private static boolean mayBeRepeated(Request request) {
        boolean eventStream = request.work() instanceof Work.Completion
                && request.relayed().contentType().toLowerCase(Locale.ROOT).startsWith(RelayFilter.EVENT_STREAM);
        return request.grant().repeatable() && (!request.reply().begun() || eventStream);
    }

    /** Adapts the refusal of a retry: the earlier attempt may have run, even if the retry did not. */
    private static Refusal afterEarlierAttempt(Refusal refusal) {
        String detail = "an earlier attempt failed; " + refusal.detail();
        return new Refusal(RefusalCode.TARGET_FAILED, detail, Ran.UNKNOWN, refusal.retryAfterMs());
    }

    private static Refusal toRefusal(Request request, AttemptException e, boolean mayHaveRun) {
        String detail = e.getMessage();
        if (!mayHaveRun) {
            boolean expired = e.kind() == AttemptException.Kind.EXPIRED;
            return Refusal.notRun(expired ? RefusalCode.DEADLINE : RefusalCode.NO_TARGET, detail, RETRY_AFTER_MS);
        }
        boolean deadlinePassed = e.kind() == AttemptException.Kind.DEADLINE || request.remainingMs() == 0;
        if (request.grant().repeatable()) {
            return Refusal.unknown(deadlinePassed ? RefusalCode.TIMED_OUT : RefusalCode.TARGET_FAILED, detail);
        }
        return Refusal.unknown(deadlinePassed ? RefusalCode.OUTCOME_LATE : RefusalCode.OUTCOME_UNKNOWN, detail);
    }
}
