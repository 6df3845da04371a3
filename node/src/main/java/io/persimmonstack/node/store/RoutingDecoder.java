package io.persimmonstack.node.store;

import io.persimmonstack.node.config.RoutingTable;

/** Reads a configuration from its stored form. */
public interface RoutingDecoder {
    /**
     * Reads a configuration.
     *
     * @param value stored bytes
     * @return the configuration
     * @throws UnreadableException if the bytes are no configuration
     */
    RoutingTable routing(byte[] value) throws UnreadableException;
}
