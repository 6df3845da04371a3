package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;

/**
 * Last check before a request is sent to the runner that was chosen for it: what the runner has said about itself
 * meanwhile and, for a stream that may be resumed, which process is at the other end of its connection. Thread-safe.
 */
final class SendCheck {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(SendCheck.class));

    private static final int CONNECT_TIMEOUT_MS = 600;
    /** Timeout for a process to tell its start before a stream that may be resumed is sent to it. */
    private static final int ANSWER_TIMEOUT_MS = 800;

    private final FleetView fleet;
    private final RunnerConnections connections;

    private SendCheck(FleetView fleet, RunnerConnections connections) {
        this.fleet = fleet;
        this.connections = connections;
    }

    /**
     * Returns a check.
     *
     * @param fleet knows the runners and what they said about themselves
     * @param connections opens connections to known processes
     */
    static SendCheck of(FleetView fleet, RunnerConnections connections) {
        return new SendCheck(fleet, connections);
    }

    /** Returns why nothing may be sent to a runner now, by its own word or its entry; empty if requests may be sent. */
    private Optional<String> withheldBy(Runner runner) {
        return fleet.withholdReason(runner, System.nanoTime()).or(() -> outdated(runner));
    }

    /** Returns that the entry by which a runner was chosen is no longer true of it, empty if it is. */
    private Optional<String> outdated(Runner chosen) {
        Optional<Runner> listed = Optional.ofNullable(fleet.current().runners().get(chosen.id()));
        if (listed.filter(chosen::isSameProcess).isEmpty()) {
            return Optional.of("gone or replaced since it was chosen");
        }
        return listed.filter(Runner::leaving).map(runner -> "leaving since it was chosen");
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param runner runner that was chosen
     * @param request request to send
     * @param origin where its stream began
     */
    SendPermit check(Runner runner, ActiveRequest request, OriginRecorder origin) {
        Optional<String> withheld = withheldBy(runner);
        if (withheld.isPresent()) {
            return new SendPermit.Withheld(withheld.get());
        }
        if (!needsProcess(request, origin)) {
            return new SendPermit.Granted(Optional.empty());
        }
        try {
            RunnerConnection connection =
                    connections.connect(runner, CONNECT_TIMEOUT_MS, ANSWER_TIMEOUT_MS, request.deadlineNanos());
            return check(runner, connection, origin);
        } catch (HttpFailure e) {
            return new SendPermit.Unreachable(e.getMessage());
        } catch (ProcessUnknownException e) {
            return withoutProcess(runner, request, origin, e);
        }
    }

    /** Decides what becomes of a request whose runner does not tell its process. */
    private SendPermit withoutProcess(
            Runner runner, ActiveRequest request, OriginRecorder origin, ProcessUnknownException e) {
        LOG.write(NodeEvent.PROCESS_UNKNOWN, request.callerRequest().id(), runner.id(), e.getMessage());
        Optional<String> withheld = withheldBy(runner).or(() -> unconfirmed(origin, e));
        return withheld.isPresent()
                ? new SendPermit.Withheld(withheld.get())
                : new SendPermit.Unidentified(e.getMessage());
    }

    /** Returns that the rest of a stream cannot be sent to a process that is not known; empty if it has not begun. */
    private static Optional<String> unconfirmed(OriginRecorder origin, ProcessUnknownException e) {
        return origin.hasBegun() ? Optional.of("process not confirmed: " + e.getMessage()) : Optional.empty();
    }

    /**
     * Decides whether a request of any kind may be sent on a new connection: only if the process tells its start. One
     * that does not may be silent, and refuse the request later.
     *
     * @param runner runner that was connected to
     * @param idle connection to it
     * @param request request to send
     * @param origin where its stream began
     * @param answerMs timeout for the process to tell its start, in milliseconds
     */
    SendPermit checkAnswering(
            Runner runner, IdleConnection idle, ActiveRequest request, OriginRecorder origin, int answerMs) {
        Optional<String> withheld = withheldBy(runner);
        if (withheld.isPresent()) {
            return new SendPermit.Withheld(withheld.get());
        }
        try {
            return check(runner, connections.identify(runner, idle, answerMs, request.deadlineNanos()), origin);
        } catch (ProcessUnknownException e) {
            return new SendPermit.Withheld("process not confirmed: " + e.getMessage());
        }
    }

    /** Returns whether the process has to be known: its stream may go on elsewhere, or goes on there. */
    private static boolean needsProcess(ActiveRequest request, OriginRecorder origin) {
        return request.isStream() && (request.route().isIdempotent() || origin.hasBegun());
    }

    private SendPermit check(Runner runner, RunnerConnection connection, OriginRecorder origin) {
        Optional<String> withheld = withheldBy(runner).or(() -> replacedBy(runner, connection, origin));
        if (withheld.isPresent()) {
            connection.close();
            return new SendPermit.Withheld(withheld.get());
        }
        return new SendPermit.Granted(Optional.of(connection));
    }

    /** Returns that another process answers where a stream is to go on, empty if the expected one does. */
    private static Optional<String> replacedBy(Runner runner, RunnerConnection connection, OriginRecorder origin) {
        return origin.hasBegun() && !connection.process().equals(runner.process())
                ? Optional.of("process not confirmed: " + connection.process() + " in place of " + runner.process())
                : Optional.empty();
    }
}
