package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.Placement;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Reserves another runner for a request whose runner is silent. The silent runner may be sound, so it is kept until
 * everything that the next attempt needs is at hand: an attempt, a free slot, a connection and the retry budget.
 */
final class SuccessorFinder {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(SuccessorFinder.class));
    /** Timeout for connecting to the successor; events of the silent runner wait meanwhile. */
    private static final int CONNECT_TIMEOUT_MS = 100;

    private final ActiveRequest request;
    private final RetryState retryState;
    private final Placer placer;
    private final HttpConnector connector;
    private final ServiceRetries retries;
    private String missing = "";

    private SuccessorFinder(
            ActiveRequest request,
            RetryState retryState,
            Placer placer,
            HttpConnector connector,
            ServiceRetries retries) {
        this.request = request;
        this.retryState = retryState;
        this.placer = placer;
        this.connector = connector;
        this.retries = retries;
    }

    /**
     * Returns a finder for one request.
     *
     * @param request request being served
     * @param retryState attempts so far
     * @param placer finds a runner with a free slot
     * @param connector connects to the runner
     * @param retries retry budget of its service
     */
    static SuccessorFinder of(
            ActiveRequest request,
            RetryState retryState,
            Placer placer,
            HttpConnector connector,
            ServiceRetries retries) {
        return new SuccessorFinder(request, retryState, placer, connector, retries);
    }

    /** Returns after how long without any data the runner of the present attempt counts as silent, in milliseconds. */
    int silentAfterMs(boolean streamStarted) {
        return retryState.silentAfterMs(streamStarted);
    }

    /**
     * Reserves a successor without waiting for a free slot.
     *
     * @param silent runner of the present attempt
     * @param stillSilent returns false once the runner has sent something
     * @return the successor, empty if the request stays with its runner
     */
    Optional<ReservedRunner> reserve(Runner silent, BooleanSupplier stillSilent) {
        if (!retryState.mayReplace(System.nanoTime())) {
            return keep(silent, "attempt");
        }
        if (!retries.allowed()) {
            return keep(silent, "budget");
        }
        Optional<Placement> placement = placer.placeNow(request, retryState.excludedWith(silent));
        if (placement.isEmpty()) {
            return keep(silent, "slot");
        }
        Runner runner = placement.get().runner();
        try {
            IdleConnection connection = connector.connect(runner.address(), CONNECT_TIMEOUT_MS);
            ReservedRunner successor = new ReservedRunner(placement.get(), Optional.of(connection));
            if (stillSilent.getAsBoolean() && retries.trySpend()) {
                return Optional.of(successor);
            }
            successor.close();
            return keep(silent, "budget");
        } catch (HttpFailure e) {
            placement.get().close();
            if (!Thread.currentThread().isInterrupted()) {
                placer.recordUnreachable(runner);
            }
            return keep(silent, "connection: " + e.getMessage());
        }
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
