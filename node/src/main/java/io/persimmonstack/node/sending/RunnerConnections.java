package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import java.util.concurrent.TimeUnit;

/**
 * Opens connections to runners and finds out which process is at their other end. A connection never leads to another
 * process, so each is asked about once. Thread-safe.
 */
final class RunnerConnections {
    /** Connections that are tried, since a runner may have closed an idle one, or closes one with its answer. */
    private static final int MAX_CONNECTIONS = 3;
    /** Shortest timeout, since a shorter one would take a sound runner for one that cannot be reached. */
    private static final int MIN_TIMEOUT_MS = 50;

    private final HttpConnector connector;
    private final ProcessCheck processes;

    private RunnerConnections(HttpConnector connector, ProcessCheck processes) {
        this.connector = connector;
        this.processes = processes;
    }

    /**
     * Returns an object that has no connections yet.
     *
     * @param connector opens connections
     * @param processes asks for the process at their other end
     */
    static RunnerConnections of(HttpConnector connector, ProcessCheck processes) {
        return new RunnerConnections(connector, processes);
    }

    /**
     * Takes an idle connection, or opens a new one.
     *
     * @param runner runner to connect to
     * @param connectMs timeout for connecting, in milliseconds
     * @param answerMs timeout for the answer of the process, in milliseconds
     * @param deadlineNanos monotonic time beyond which neither is awaited
     * @return the connection, to be closed after use
     * @throws HttpFailure if no connection could be opened
     * @throws ProcessUnknownException if the process was not told
     */
    RunnerConnection connect(Runner runner, int connectMs, int answerMs, long deadlineNanos)
            throws HttpFailure, ProcessUnknownException {
        for (int tries = 1; ; tries++) {
            IdleConnection idle = connector.idleOrNew(runner.address(), timeoutMs(connectMs, deadlineNanos));
            try {
                return identify(runner, idle, answerMs, deadlineNanos);
            } catch (ProcessUnknownException e) {
                idle.close();
                if (tries == MAX_CONNECTIONS || !wasClosed(e)) {
                    throw e;
                }
            }
        }
    }

    private static int timeoutMs(int longestMs, long deadlineNanos) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        return (int) Math.clamp(leftMs, MIN_TIMEOUT_MS, longestMs);
    }

    private static boolean wasClosed(ProcessUnknownException e) {
        return e.getCause() instanceof HttpFailure failure && failure.kind() == HttpFailure.Kind.LOST;
    }

    /**
     * Finds out which process is at the other end of a connection.
     *
     * @param runner runner that was connected to
     * @param idle connection to it
     * @param answerMs timeout for the answer, in milliseconds
     * @throws ProcessUnknownException if the process was not told, or the connection is closed
     */
    RunnerConnection identify(Runner runner, IdleConnection idle, int answerMs, long deadlineNanos)
            throws ProcessUnknownException {
        if (idle.peerStartedMs().isEmpty()) {
            idle.recordPeerStart(ask(runner, idle, timeoutMs(answerMs, deadlineNanos)));
        }
        if (!idle.isOpen()) {
            String message = runner.id() + ": connection closed with its first answer";
            throw new ProcessUnknownException(message, new HttpFailure(HttpFailure.Kind.LOST, message, false, null));
        }
        return new RunnerConnection(
                idle, new RunnerProcess(runner.id(), idle.peerStartedMs().getAsLong()));
    }

    /** Asks for the start of the process; a connection without a usable answer is not used for requests. */
    private long ask(Runner runner, IdleConnection idle, int answerMs) throws ProcessUnknownException {
        try {
            return processes.startedMs(runner, idle, answerMs);
        } catch (ProcessUnknownException e) {
            idle.discard();
            throw e;
        }
    }
}
