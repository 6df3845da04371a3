package io.persimmonstack.node.store;

import io.persimmonstack.node.fleet.Runner;

/** Reads the description of a runner from its stored form. */
public interface RunnerDecoder {
    /**
     * Reads a description.
     *
     * @param id identifier of the runner
     * @param value stored bytes
     * @return the description
     * @throws UnreadableException if the bytes describe no runner
     */
    Runner runner(String id, byte[] value) throws UnreadableException;
}
