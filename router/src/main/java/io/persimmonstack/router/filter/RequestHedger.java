package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetViews;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Sends an idempotent request whose whole answer is late to a second target as well, in another zone where possible and
 * within the retry budget. The first answer counts, the other attempt is cancelled.
 */
public final class RequestHedger {
    private static final int CLIENT_ERROR = 400;
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
     * Returns the hedges.
     *
     * @param afterMs how late an answer is before a second attempt begins, 0 for no hedges
     * @param placer finds the second target
     * @param views source of the current view
     * @param budget bounds hedges and retries together
     * @param metrics where hedges are counted
     * @return the hedges
     */
    public static RequestHedger of(
            int hedgeAfterMs, Placer placer, FleetViews views, RetryBudget budget, RouterMetrics metrics) {
        return new RequestHedger(hedgeAfterMs, placer, views, budget, metrics);
    }

    /** Opens a call to the target of a place. */
    interface CallOpener {
        HttpCall open() throws HttpFailure;
    }

    /** Prepares a call to the target of a place, on the thread of the request. */
    interface CallPreparer {
        CallOpener prepare(Reservation reservation);
    }

    /** End of one attempt. */
    private record AttemptResult(Reservation reservation, Optional<HttpCall> call, Optional<HttpFailure> failure) {}

    /** Returns whether a second attempt may follow while the first one runs. */
    boolean mayHedge(Request request) {
        boolean wholeAnswer = !(request.work() instanceof Work.Completion completion) || !completion.stream();
        return hedgeAfterMs > 0
                && wholeAnswer
                && request.grant().repeatable()
                && request.tried().isEmpty()
                && request.leftMs() > hedgeAfterMs;
    }

    /** Opens a call at the place that the request holds, or at a second one, which the request holds afterwards. */
    HttpCall open(Request request, CallPreparer preparer) throws HttpFailure, InterruptedException {
        AttemptRace race = new AttemptRace();
        try {
            Reservation first = request.reservation().orElseThrow();
            race.start(first, preparer.prepare(first), false);
            Optional<AttemptResult> firstResult = race.poll(hedgeAfterMs);
            int attemptsInFlight = firstResult.isPresent() ? 0 : 1 + startHedge(race, request, first, preparer);
            List<HttpFailure> failures = new ArrayList<>();
            AttemptResult result = firstResult.isPresent() ? firstResult.get() : race.take();
            while (result.call().isEmpty()) {
                failures.add(result.failure().orElseThrow());
                if (--attemptsInFlight <= 0) {
                    throw mostUncertain(failures);
                }
                result = race.take();
            }
            if (result.reservation() != first) {
                first.close();
                request.reservation(result.reservation());
                request.takeReserved();
            }
            return result.call().get();
        } finally {
            race.finish();
        }
    }

    private int startHedge(AttemptRace race, Request request, Reservation first, CallPreparer preparer) {
        Optional<Reservation> reservation = placer.reserve(request.work(), views.current(), Set.of(first.target()));
        if (reservation.isEmpty()) {
            return 0;
        }
        if (!budget.spend()) {
            reservation.get().close();
            return 0;
        }
        metrics.hedges().inc();
        race.start(reservation.get(), preparer.prepare(reservation.get()), true);
        return 1;
    }

    /** Returns the failure that leaves open whether the request ran, if there is one. */
    private static HttpFailure mostUncertain(List<HttpFailure> failures) {
        return failures.stream().filter(HttpFailure::sent).findFirst().orElse(failures.get(0));
    }

    /** Attempts under way. The first call that is taken wins; later ones are closed. */
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

        AttemptResult take() throws InterruptedException {
            return results.take();
        }

        /** Ends the attempts that still run, and calls that nobody has taken. */
        void finish() {
            finished = true;
            winnerChosen.set(true);
            threads.forEach(Thread::interrupt);
            cancelUnusedCalls();
        }

        /** Closes a call that was won after the race was over, which nobody else would. */
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
