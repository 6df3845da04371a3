package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.fleet.RunnerProcess;

/**
 * Connection to a known process of a runner.
 *
 * @param idle connection for the next request
 * @param process process at its other end
 */
record RunnerConnection(IdleConnection idle, RunnerProcess process) implements AutoCloseable {
    @Override
    public void close() {
        idle.close();
    }
}
