package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;

/**
 * Asks a runner whether its process is still the one that its entry describes. A runner that came back under its
 * identifier may have other software, and does not check what it is asked to go on with.
 */
public interface ProcessCheck {
    /**
     * Asks a runner for its process; blocks until it answers or the timeout passes.
     *
     * @param expected expected process
     * @param timeoutMs timeout for connecting and for the answer each, in milliseconds
     */
    ProcessAnswer ask(Runner expected, int timeoutMs);
}
