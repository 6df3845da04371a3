package io.persimmonstack.node.fleet;

import io.persimmonstack.node.config.RoutingTable;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State of the whole fleet as one node knows it, immutable.
 *
 * @param routing configuration in force, absent until the first was read
 * @param runners runners by identifier
 * @param runnersRevision store revision up to which the runners are known; 0 until the first read
 * @param peers ready nodes by name
 * @param leader planner of loads, absent where none is known
 */
public record Fleet(
        Optional<RoutingTable> routing,
        Map<String, Runner> runners,
        long runnersRevision,
        Map<String, Peer> peers,
        Optional<Leader> leader) {
    /** Returns a fleet of which nothing is known. */
    public static Fleet unknown() {
        return new Fleet(Optional.empty(), Map.of(), 0, Map.of(), Optional.empty());
    }

    /** Returns the runners of one service. */
    public List<Runner> runnersOf(String service) {
        return runners.values().stream()
                .filter(runner -> runner.service().equals(service))
                .toList();
    }

    /** Returns whether enough is known to serve requests. */
    public boolean isInitialised() {
        return routing.isPresent() && runnersRevision > 0;
    }

    /** Returns this fleet with another configuration. */
    public Fleet withRouting(RoutingTable other) {
        return new Fleet(Optional.of(other), runners, runnersRevision, peers, leader);
    }

    /** Returns this fleet with other runners. */
    public Fleet withRunners(Map<String, Runner> other, long revision) {
        return new Fleet(routing, Map.copyOf(other), revision, peers, leader);
    }

    /** Returns this fleet with other nodes and another leader. */
    public Fleet withPeers(Map<String, Peer> other, Optional<Leader> otherLeader) {
        return new Fleet(routing, runners, runnersRevision, Map.copyOf(other), otherLeader);
    }
}
