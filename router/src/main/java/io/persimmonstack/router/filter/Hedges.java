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
public final class Hedges {
    private static final int CLIENT_ERROR = 400;
    private final int afterMs;
    private final Placer placer;
    private final FleetViews views;
    private final RetryBudget budget;
    private final RouterMetrics metrics;

    private Hedges(int afterMs, Placer placer, FleetViews views, RetryBudget budget, RouterMetrics metrics) {
        this.afterMs = afterMs;
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
    public static Hedges of(int afterMs, Placer placer, FleetViews views, RetryBudget budget, RouterMetrics metrics) {
        return new Hedges(afterMs, placer, views, budget, metrics);
    }

    /** Opens a call to the target of a place. */
    interface Opener {
        HttpCall open() throws HttpFailure;
    }

    /** Prepares a call to the target of a place, on the thread of the request. */
    interface Preparation {
        Opener prepare(Reservation place);
    }

    /** End of one attempt. */
    private record End(Reservation place, Optional<HttpCall> call, Optional<HttpFailure> failure) {}

    /** Returns whether a second attempt may follow while the first one runs. */
    boolean allow(Request request) {
        boolean whole = !(request.work() instanceof Work.Completion completion) || !completion.stream();
        return afterMs > 0
                && whole
                && request.grant().repeatable()
                && request.tried().isEmpty()
                && request.leftMs() > afterMs;
    }

    /** Opens a call at the place that the request holds, or at a second one, which the request holds afterwards. */
    HttpCall open(Request request, Preparation preparation) throws HttpFailure, InterruptedException {
        Race race = new Race();
        try {
            Reservation first = request.reservation().orElseThrow();
            race.start(first, preparation.prepare(first), false);
            Optional<End> early = race.next(afterMs);
            int running = early.isPresent() ? 0 : 1 + second(race, request, first, preparation);
            List<HttpFailure> failures = new ArrayList<>();
            End end = early.isPresent() ? early.get() : race.next();
            while (end.call().isEmpty()) {
                failures.add(end.failure().orElseThrow());
                if (--running <= 0) {
                    throw worst(failures);
                }
                end = race.next();
            }
            if (end.place() != first) {
                first.close();
                request.reservation(end.place());
                request.takeUnusedReservation();
            }
            return end.call().get();
        } finally {
            race.over();
        }
    }

    private int second(Race race, Request request, Reservation first, Preparation preparation) {
        Optional<Reservation> place = placer.reserve(request.work(), views.current(), Set.of(first.target()));
        if (place.isEmpty()) {
            return 0;
        }
        if (!budget.spend()) {
            place.get().close();
            return 0;
        }
        metrics.hedges().inc();
        race.start(place.get(), preparation.prepare(place.get()), true);
        return 1;
    }

    /** Returns the failure that leaves open whether the request ran, if there is one. */
    private static HttpFailure worst(List<HttpFailure> failures) {
        return failures.stream().filter(HttpFailure::sent).findFirst().orElse(failures.get(0));
    }

    /** Attempts under way. The first call that is taken wins; later ones are closed. */
    private static final class Race {
        private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
        private final List<Thread> threads = new ArrayList<>();
        private final AtomicBoolean taken = new AtomicBoolean();
        private volatile boolean over;

        void start(Reservation place, Opener opener, boolean hedge) {
            threads.add(Thread.ofVirtual().name("attempt").start(() -> run(place, opener, hedge)));
        }

        private void run(Reservation place, Opener opener, boolean hedge) {
            boolean won = false;
            try {
                HttpCall call = opener.open();
                if (hedge && call.status() >= CLIENT_ERROR) {
                    call.close();
                    String message = place.target().id() + " answered a hedge with " + call.status();
                    fail(place, new HttpFailure(HttpFailure.Kind.LOST, message, true, null));
                } else if (taken.compareAndSet(false, true)) {
                    won = true;
                    ends.add(new End(place, Optional.of(call), Optional.empty()));
                    closeUntaken();
                } else {
                    call.cancel();
                }
            } catch (HttpFailure e) {
                fail(place, e);
            } finally {
                if (hedge && !won) {
                    place.close();
                }
            }
        }

        private void fail(Reservation place, HttpFailure failure) {
            ends.add(new End(place, Optional.empty(), Optional.of(failure)));
        }

        Optional<End> next(int waitMs) throws InterruptedException {
            return Optional.ofNullable(ends.poll(waitMs, TimeUnit.MILLISECONDS));
        }

        End next() throws InterruptedException {
            return ends.take();
        }

        /** Ends the attempts that still run, and calls that nobody has taken. */
        void over() {
            over = true;
            taken.set(true);
            threads.forEach(Thread::interrupt);
            closeUntaken();
        }

        /** Closes a call that was won after the race was over, which nobody else would. */
        private void closeUntaken() {
            if (!over) {
                return;
            }
            for (End left = ends.poll(); left != null; left = ends.poll()) {
                left.call().ifPresent(HttpCall::cancel);
                left.place().close();
            }
        }
    }
}
