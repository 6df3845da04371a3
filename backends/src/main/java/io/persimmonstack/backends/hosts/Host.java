package io.persimmonstack.backends.hosts;

import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;

/**
 * Host in the platform's host list.
 *
 * @param name name of the host
 * @param kind what runs on the host
 * @param state state of the host
 * @param address address of the coordinator on an entry host, otherwise of the engine or service instance
 * @param zone availability zone
 * @param region region
 * @param service name of the plain service if the host runs an instance of one
 * @param fencing whether the target refuses orders with a stale fencing token
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
