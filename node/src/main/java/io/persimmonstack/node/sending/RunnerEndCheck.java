package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.coordination.BoundedMap;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import java.net.ConnectException;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Finds out whether the process of a runner has ended when a connection to it broke, or only the connection. It has if
 * the runner refuses connections or another process answers. Thread-safe.
 */
final class RunnerEndCheck {
    private static final int CONNECT_TIMEOUT_MS = 200;
    private static final int ANSWER_TIMEOUT_MS = 300;
    private static final int MAX_ENDED = 1_024;

    private final FleetView fleet;
    private final HttpConnector connector;
    private final RunnerConnections connections;
    /** Processes that are known to have ended. */
    private final Map<RunnerProcess, Boolean> ended =
            Collections.synchronizedMap(BoundedMap.droppingFirstAdded(MAX_ENDED));

    private RunnerEndCheck(FleetView fleet, HttpConnector connector, RunnerConnections connections) {
        this.fleet = fleet;
        this.connector = connector;
        this.connections = connections;
    }

    /**
     * Returns a check.
     *
     * @param fleet knows the processes of the runners
     * @param connector opens connections to runners
     * @param connections finds out which process is at their other end
     */
    static RunnerEndCheck of(FleetView fleet, HttpConnector connector, RunnerConnections connections) {
        return new RunnerEndCheck(fleet, connector, connections);
    }

    /**
     * Returns whether a process has ended; blocks until the runner has answered or a timeout has passed.
     *
     * @param runner runner whose connection broke
     * @param process process that the connection led to
     * @return false also if it cannot be told
     */
    boolean hasEnded(Runner runner, RunnerProcess process) {
        if (ended.containsKey(process) || isReplaced(process) || !answers(runner, process)) {
            ended.put(process, true);
            return true;
        }
        return false;
    }

    private boolean isReplaced(RunnerProcess process) {
        return Optional.ofNullable(fleet.current().runners().get(process.runner()))
                .filter(listed -> listed.startedMs() > process.startedMs())
                .isPresent();
    }

    /** Returns whether the process still answers, or whether that cannot be told. */
    private boolean answers(Runner runner, RunnerProcess process) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS);
        try (IdleConnection idle = connector.connect(runner.address(), CONNECT_TIMEOUT_MS)) {
            return connections
                    .identify(runner, idle, ANSWER_TIMEOUT_MS, deadlineNanos)
                    .process()
                    .equals(process);
        } catch (HttpFailure e) {
            return !(e.getCause() instanceof ConnectException);
        } catch (ProcessUnknownException e) {
            return true;
        }
    }
}
