package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.planning.RunnerControlException;

/**
 * Asks a runner whether its process is still the one that its entry describes. A runner that came back under its
 * identifier may have other software, and does not check what it is asked to go on with.
 */
public interface ProcessCheck {
    /**
     * Returns if a runner has answered in time and is the expected process; blocks at most so long.
     *
     * @param runner expected process
     * @param timeoutMs timeout for connecting and for the answer each, in milliseconds
     * @throws RunnerControlException if there was no answer, or one of another process
     */
    void confirm(Runner runner, int timeoutMs) throws RunnerControlException;
}
