package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Hedges repeatable requests: a request whose answer is late is also sent to a second target, in another zone where
 * possible and within the retry budget, and to a third one if the second is silent too. The first answer is used and
 * the other attempts are cancelled; none is given up before, as a silent target may be sound. Streams are not hedged.
 */
public final class RequestHedger {
    private static final int CLIENT_ERROR = 400;
    private static final int MAX_ATTEMPTS = 3;
    /** Interval at which a hedge that lacked a target or budget is tried again while no answer has come. */
    private static final int HEDGE_RETRY_INTERVAL_MS = 100;

    private final int hedgeAfterMs;
    private final Placer placer;
    private final FleetViews views;
    private final RetryBudget budget;
    private final RouterMetrics metrics;

    private RequestHedger(
            int hedgeAfterMs, Placer placer, FleetViews views, RetryBudget budget, RouterMetrics metrics) {
        this.hedgeAfterMs = hedgeAfterMs;
        this.placer = placer;
        this.views = views;
        this.budget = budget;
        this.metrics = metrics;
    }

    /**
     * Returns a hedger.
     *
     * @param hedgeAfterMs time without an answer before the second attempt starts; 0 disables hedging
     * @param placer chooses the second target
     * @param views source of the current fleet view
     * @param budget budget that hedges share with retries
     * @param metrics counts hedges
     * @return the hedger
     */
    public static RequestHedger of(
            int hedgeAfterMs, Placer placer, FleetViews views, RetryBudget budget, RouterMetrics metrics) {
        return new RequestHedger(hedgeAfterMs, placer, views, budget, metrics);
    }

    /** Sends a prepared request and waits for the head of the answer. */
    interface CallOpener {
        HttpCall open() throws HttpFailure;
    }

    /** Prepares a call to the target of a reservation. Runs on the thread that handles the request. */
    interface CallPreparer {
        CallOpener prepare(Reservation reservation);
    }

    /** Result of one attempt: an open call or the failure to get one. */
    private record AttemptResult(Reservation reservation, Optional<HttpCall> call, Optional<HttpFailure> failure) {}

    /**
     * Returns whether the request may be hedged: a repeatable first attempt, not a stream, with enough time left and no
     * suspected prompt.
     */
    boolean mayHedge(Request request) {
        boolean wholeAnswer = !(request.work() instanceof Work.Completion completion) || !completion.stream();
        return hedgeAfterMs > 0
                && wholeAnswer
                && request.grant().repeatable()
                && request.targetFilter().equals(TargetFilter.any())
                && !request.isPromptSuspected()
                && request.remainingMs() > hedgeAfterMs;
    }

    /**
     * Opens a call to the reserved target and, if it is late, to others.
     *
     * @param request request with a reservation, which is replaced if another target answers first
     * @param preparer prepares the calls
     * @param silentAfterMs time without an answer after which a hedge counts as silent, in milliseconds
     * @return the call that was answered first
     * @throws HttpFailure if all attempts failed
     * @throws InterruptedException if the thread is interrupted because the caller disconnected
     */
    HttpCall open(Request request, CallPreparer preparer, int silentAfterMs) throws HttpFailure, InterruptedException {
        AttemptRace race = new AttemptRace();
        try {
            Reservation firstReservation = request.reservation().orElseThrow();
            race.start(firstReservation, preparer.prepare(firstReservation), false);
            TargetFilter filter = request.targetFilter().excluding(firstReservation.target());
            List<HttpFailure> failures = new ArrayList<>();
            int waitMs = hedgeAfterMs;
            Optional<AttemptResult> next = race.poll(waitMs);
            while (next.isEmpty() || next.get().call().isEmpty()) {
                if (next.isPresent()) {
                    failures.add(next.get().failure().orElseThrow());
                    if (failures.size() == filter.failed().size()) {
                        throw mostUncertain(failures);
                    }
                } else if (filter.failed().size() < MAX_ATTEMPTS) {
                    Optional<Target> started = startHedge(race, request, filter, preparer);
                    if (started.isPresent()) {
                        filter = filter.excluding(started.get());
                    }
                    waitMs = started.isPresent() ? Math.max(hedgeAfterMs, silentAfterMs) : HEDGE_RETRY_INTERVAL_MS;
                }
                next = race.poll(waitMs);
            }
            AttemptResult result = next.get();
            if (result.reservation() != firstReservation) {
                firstReservation.close();
                request.reservation(result.reservation());
                request.takeUnusedReservation();
            }
            return result.call().get();
        } finally {
            race.finish();
        }
    }

    /**
     * Starts another attempt if a target and budget are available.
     *
     * @param filter excludes the targets of the attempts so far
     * @return target of the attempt, empty if none was started
     */
    private Optional<Target> startHedge(AttemptRace race, Request request, TargetFilter filter, CallPreparer preparer) {
        Optional<Reservation> reservation = placer.reserve(request.work(), views.current(), filter);
        if (reservation.isEmpty()) {
            return Optional.empty();
        }
        if (!budget.spend()) {
            reservation.get().close();
            return Optional.empty();
        }
        metrics.hedges().inc();
        race.start(reservation.get(), preparer.prepare(reservation.get()), true);
        return reservation.map(Reservation::target);
    }

    /** Returns a failure after which the request may have run, if there is one, and else the first failure. */
    private static HttpFailure mostUncertain(List<HttpFailure> failures) {
        return failures.stream().filter(HttpFailure::sent).findFirst().orElse(failures.get(0));
    }

    /**
     * Concurrent attempts of one request. The first open call wins; calls opened later are cancelled. A hedge that is
     * answered with an error status counts as failed, so that it cannot win against the first attempt.
     */
    private static final class AttemptRace {
        private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
        private final List<Thread> threads = new ArrayList<>();
        private final AtomicBoolean winnerChosen = new AtomicBoolean();
        private volatile boolean finished;

        void start(Reservation reservation, CallOpener opener, boolean isHedge) {
            threads.add(Thread.ofVirtual().name("attempt").start(() -> runAttempt(reservation, opener, isHedge)));
        }

        private void runAttempt(Reservation reservation, CallOpener opener, boolean isHedge) {
            boolean won = false;
            try {
                HttpCall call = opener.open();
                if (isHedge && call.status() >= CLIENT_ERROR) {
                    call.close();
                    String message = reservation.target().id() + " answered a hedge with " + call.status();
                    addFailure(reservation, new HttpFailure(HttpFailure.Kind.LOST, message, true, null));
                } else if (winnerChosen.compareAndSet(false, true)) {
                    won = true;
                    results.add(new AttemptResult(reservation, Optional.of(call), Optional.empty()));
                    cancelUnusedCalls();
                } else {
                    call.cancel();
                }
            } catch (HttpFailure e) {
                addFailure(reservation, e);
            } finally {
                if (isHedge && !won) {
                    reservation.close();
                }
            }
        }

        private void addFailure(Reservation reservation, HttpFailure failure) {
            results.add(new AttemptResult(reservation, Optional.empty(), Optional.of(failure)));
        }

        Optional<AttemptResult> poll(int waitMs) throws InterruptedException {
            return Optional.ofNullable(results.poll(waitMs, TimeUnit.MILLISECONDS));
        }

        /** Interrupts the attempts in flight and cancels calls that were opened but not returned. */
        void finish() {
            finished = true;
            winnerChosen.set(true);
            threads.forEach(Thread::interrupt);
            cancelUnusedCalls();
        }

        /** Cancels calls that won after the race was finished; no other code would close them. */
        private void cancelUnusedCalls() {
            if (!finished) {
                return;
            }
            for (AttemptResult unused = results.poll(); unused != null; unused = results.poll()) {
                unused.call().ifPresent(HttpCall::cancel);
                unused.reservation().close();
            }
        }
    }
}
