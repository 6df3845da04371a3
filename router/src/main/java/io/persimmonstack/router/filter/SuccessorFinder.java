package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.backends.http.SilenceWatcher;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.Successor;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.FleetViews;
import java.util.Optional;

/**
 * Reserves what another attempt needs while the target of the present one is silent: capacity, a connection and the
 * retry budget. The silent target may be sound, so it keeps the request while one of them is missing. Thread-safe.
 */
public final class SuccessorFinder {
    /** Upper bound of the timeout for connecting; what the silent target sends waits meanwhile. */
    private static final int MAX_CONNECT_MS = 200;

    private final HttpConnector connector;
    private final int connectMs;
    private final Placer placer;
    private final FleetViews views;
    private final RetryBudget budget;

    private SuccessorFinder(
            HttpConnector connector, int connectMs, Placer placer, FleetViews views, RetryBudget budget) {
        this.connector = connector;
        this.connectMs = connectMs;
        this.placer = placer;
        this.views = views;
        this.budget = budget;
    }

    /**
     * Returns a finder.
     *
     * @param connector connects to targets
     * @param connectMs timeout for connecting, in milliseconds
     * @param placer reserves capacity at targets
     * @param views source of the current fleet view
     * @param budget budget of the retries
     */
    public static SuccessorFinder of(
            HttpConnector connector, int connectMs, Placer placer, FleetViews views, RetryBudget budget) {
        return new SuccessorFinder(connector, Math.min(connectMs, MAX_CONNECT_MS), placer, views, budget);
    }

    /**
     * Reserves the next attempt at a request, without waiting for capacity. A stream is first resumed at its own target
     * on a new connection, since the present connection may be dead.
     *
     * @param request request whose target is silent
     * @param silent reservation of the present attempt
     * @param serviceMs mean service time of such requests in milliseconds, 0 while unknown
     * @param peer connection to the silent target
     * @return the successor, empty if the request stays with its target
     */
    Optional<Successor> reserve(Request request, Reservation silent, double serviceMs, SilenceWatcher.SilentPeer peer) {
        boolean timeLeft = request.remainingMs() > serviceMs + connectMs;
        boolean mayFollow = RetryFilter.mayFollow(request) && !request.isPromptSuspected();
        if (!timeLeft || !mayFollow || !budget.available()) {
            return Optional.empty();
        }
        FleetView view = views.current();
        TargetFilter filter = request.targetFilter();
        boolean sameTarget = request.relayed().tokens() > 0
                && !request.sameTargetResumeUsed()
                && placer.mayTakeAgain(request.work(), view, filter, silent.target());
        Optional<Successor> successor = sameTarget ? connect(silent) : Optional.empty();
        if (successor.isEmpty()) {
            successor = placer.reserve(request.work(), view, filter.excluding(silent.target()))
                    .flatMap(this::connectOrRelease);
        }
        if (successor.isPresent() && !(peer.isStillSilent() && budget.spend())) {
            release(successor.get(), silent);
            return Optional.empty();
        }
        return successor;
    }

    private Optional<Successor> connect(Reservation reservation) {
        try {
            IdleConnection connection = connector.connect(reservation.target().address(), connectMs);
            return Optional.of(new Successor(reservation, connection));
        } catch (HttpFailure e) {
            return Optional.empty();
        }
    }

    private Optional<Successor> connectOrRelease(Reservation reservation) {
        Optional<Successor> successor = connect(reservation);
        if (successor.isEmpty()) {
            reservation.close();
        }
        return successor;
    }

    private static void release(Successor successor, Reservation silent) {
        successor.connection().close();
        if (successor.reservation() != silent) {
            successor.reservation().close();
        }
    }
}
