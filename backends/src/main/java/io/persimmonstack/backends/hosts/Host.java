package io.persimmonstack.backends.hosts;

import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;

/**
 * Host as the platform lists it.
 *
 * @param name name of the host
 * @param kind what runs on it
 * @param state state of the host
 * @param address coordinator's address for an entry host, otherwise that of the engine or instance
 * @param zone availability zone
 * @param region region
 * @param service name of the plain service, for its instances
 * @param fencing whether the target checks fencing numbers of orders
 */
public record Host(
        String name,
        HostKind kind,
        HostState state,
        PeerAddress address,
        String zone,
        String region,
        Optional<String> service,
        boolean fencing) {}
