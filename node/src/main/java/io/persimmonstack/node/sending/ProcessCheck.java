package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.fleet.Runner;

/**
 * Asks which process is at the other end of a connection to a runner. A runner that came back under its identifier may
 * have other software, and does not check what it is asked to go on with.
 */
public interface ProcessCheck {
    /**
     * Asks for the start time of the process; blocks until it answers or the timeout passes.
     *
     * @param runner runner that is expected at the other end
     * @param connection connection to it
     * @param timeoutMs timeout for the answer, in milliseconds
     * @return start time, in Unix milliseconds
     * @throws ProcessUnknownException if there was no usable answer
     */
    long startedMs(Runner runner, IdleConnection connection, int timeoutMs) throws ProcessUnknownException;
}
