package io.persimmonstack.router.filter;

import io.persimmonstack.backends.http.SilenceWatcher;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.Successor;
import java.util.Optional;

/** Keeps an attempt at a silent target until its successor has been reserved, or until the deadline. */
final class TargetSilence implements SilenceWatcher {
    private final Request request;
    private final Reservation reservation;
    private final DispatchTimeouts timeouts;
    private final double serviceMs;
    private final boolean headRaced;
    private final SuccessorFinder successors;

    private TargetSilence(
            Request request,
            Reservation reservation,
            DispatchTimeouts timeouts,
            double serviceMs,
            boolean headRaced,
            SuccessorFinder successors) {
        this.request = request;
        this.reservation = reservation;
        this.timeouts = timeouts;
        this.serviceMs = serviceMs;
        this.headRaced = headRaced;
        this.successors = successors;
    }

    /**
     * Returns the watcher of one attempt.
     *
     * @param request the request
     * @param reservation capacity at the target of the attempt
     * @param timeouts tell after how long a target counts as silent
     * @param serviceMs mean service time of such requests in milliseconds, 0 while unknown
     * @param headRaced whether another attempt is started beside this one while the head of the answer is late
     * @param successors reserves the next attempt
     */
    static TargetSilence of(
            Request request,
            Reservation reservation,
            DispatchTimeouts timeouts,
            double serviceMs,
            boolean headRaced,
            SuccessorFinder successors) {
        return new TargetSilence(request, reservation, timeouts, serviceMs, headRaced, successors);
    }

    @Override
    public int silentAfterMs() {
        return switch (request.awaitedPart()) {
            case HEAD -> headRaced ? Integer.MAX_VALUE : timeouts.headSilenceMs(request, serviceMs);
            case FIRST_TOKEN -> timeouts.firstTokenMs();
            case BODY -> timeouts.progressMs();
            case END -> Integer.MAX_VALUE;
        };
    }

    @Override
    public boolean giveUp(SilentPeer peer) {
        Optional<Successor> successor = successors.reserve(request, reservation, serviceMs, peer);
        successor.ifPresent(request::successor);
        return successor.isPresent();
    }
}
