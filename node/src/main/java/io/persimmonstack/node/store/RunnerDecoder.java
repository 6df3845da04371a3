package io.persimmonstack.node.store;

import io.persimmonstack.node.fleet.Runner;

/** Decodes the runners' entries in the store. */
public interface RunnerDecoder {
    /**
     * Decodes the entry of a runner.
     *
     * @param id identifier of the runner
     * @param value stored bytes
     * @return the runner
     * @throws UnreadableException if the bytes are not a valid entry
     */
    Runner runner(String id, byte[] value) throws UnreadableException;
}
