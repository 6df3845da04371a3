package io.persimmonstack.router.snapshot;

import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.Set;

/**
 * Runner or service instance to send requests to, as described by one snapshot.
 *
 * @param id name of the runner or instance
 * @param address address of the runner's engine or of the instance
 * @param zone availability zone that it is in
 * @param region region that it is in
 * @param maxConcurrent most requests that it serves at once
 * @param leaving whether it is leaving and must get no new requests
 * @param adapters adapters loaded with the model, empty for a service
 * @param softwareVersion version of its software, empty if it is not known
 */
public record Target(
        String id,
        PeerAddress address,
        String zone,
        String region,
        int maxConcurrent,
        boolean leaving,
        Set<String> adapters,
        Optional<String> softwareVersion) {
    /** Makes the set immutable. */
    public Target {
        adapters = Set.copyOf(adapters);
    }
}
