package io.persimmonstack.node.fleet;

import io.persimmonstack.node.config.RoutingTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Snapshot of the fleet as one node knows it. Immutable.
 *
 * @param routing configuration in force, empty until the first one has been read
 * @param runners runners by identifier
 * @param runnersRevision store revision that the runners reflect; 0 until they have been read
 * @param peers ready nodes by name
 * @param leader node that plans the loads, empty if none is known
 */
public record Fleet(
        Optional<RoutingTable> routing,
        Map<String, Runner> runners,
        long runnersRevision,
        Map<String, Peer> peers,
        Optional<Leader> leader) {
    /** Returns the snapshot of a node that has not read the store yet. */
    public static Fleet unknown() {
        return new Fleet(Optional.empty(), Map.of(), 0, Map.of(), Optional.empty());
    }

    /** Returns the runners of one service. */
    public List<Runner> runnersOf(String service) {
        return runners.values().stream()
                .filter(runner -> runner.service().equals(service))
                .toList();
    }

    /** Returns the software version of a process; empty unless the entry of its runner describes it. */
    public Optional<String> softwareVersion(RunnerProcess process) {
        return Optional.ofNullable(runners.get(process.runner()))
                .filter(runner -> runner.process().equals(process))
                .map(Runner::softwareVersion);
    }

    /** Returns whether the configuration and the runners have been read, so that requests can be served. */
    public boolean isInitialised() {
        return routing.isPresent() && runnersRevision > 0;
    }

    /** Returns a copy with the given configuration. */
    public Fleet withRouting(RoutingTable newRouting) {
        return new Fleet(Optional.of(newRouting), runners, runnersRevision, peers, leader);
    }

    /** Returns a copy with the given runners, read at a store revision. */
    public Fleet withRunners(Map<String, Runner> newRunners, long revision) {
        return new Fleet(routing, Map.copyOf(newRunners), revision, peers, leader);
    }

    /** Returns a copy in which the given processes are shutting down, whatever their entries say. */
    Fleet withLeaving(Set<RunnerProcess> processes) {
        boolean changed =
                runners.values().stream().anyMatch(runner -> !runner.leaving() && processes.contains(runner.process()));
        if (!changed) {
            return this;
        }
        Map<String, Runner> updated = new HashMap<>(runners);
        updated.replaceAll((id, runner) -> processes.contains(runner.process()) ? runner.asLeaving() : runner);
        return withRunners(updated, runnersRevision);
    }

    /** Returns a copy with the given nodes and leader. */
    public Fleet withPeers(Map<String, Peer> newPeers, Optional<Leader> newLeader) {
        return new Fleet(routing, runners, runnersRevision, Map.copyOf(newPeers), newLeader);
    }
}
