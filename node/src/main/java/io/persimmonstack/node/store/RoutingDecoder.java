package io.persimmonstack.node.store;

import io.persimmonstack.node.config.RoutingTable;

/** Decodes stored configurations. */
public interface RoutingDecoder {
    /**
     * Decodes a configuration.
     *
     * @param value stored bytes
     * @return the configuration
     * @throws UnreadableException if the bytes are not a valid configuration
     */
    RoutingTable routing(byte[] value) throws UnreadableException;
}
