package io.persimmonstack.node.store;

import io.persimmonstack.node.fleet.Runner;

/** Decodes stored descriptions of runners. */
public interface RunnerDecoder {
    /**
     * Decodes the description of a runner.
     *
     * @param id identifier of the runner
     * @param value stored bytes
     * @return the runner
     * @throws UnreadableException if the bytes are not a valid description
     */
    Runner runner(String id, byte[] value) throws UnreadableException;
}
