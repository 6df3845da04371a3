package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.coordination.grant.AcquireResult;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReconcileReport;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Hosts;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Runners that this node owns. Each runner prefers one live node by rendezvous hashing, its own zone first; that node
 * takes it over when the owner on record hands over or can do no more harm.
 */
public final class Runners implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Runners.class);
    private static final int CHECKS_PER_SCAN = 30;
    private final RunnerPorts ports;
    private final FleetView view;
    private final Takeover takeover;
    private final GoneRunners gone;
    private final Map<String, RunnerAgent> agents = new ConcurrentHashMap<>();
    private final Map<String, String> obstacles = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private int checksUntilGone = CHECKS_PER_SCAN;

    private Runners(RunnerPorts ports, FleetView view, Takeover takeover, GoneRunners gone) {
        this.ports = ports;
        this.view = view;
        this.takeover = takeover;
        this.gone = gone;
    }

    /**
     * Creates the table of a process that owns nothing yet.
     *
     * @param ports what the agents share
     * @param records slots and owners in the key-value service
     * @param view state of the fleet
     * @param peers connections to coordinators
     * @param graceMs time after the start in which an owner that is not known yet is not taken for dead
     * @return the table
     */
    public static Runners of(
            RunnerPorts ports,
            GrantReader records,
            FleetView view,
            ThriftPeers<Coordinator.Client> peers,
            long graceMs) {
        Takeover takeover = new Takeover(ports.self(), view, peers, ports.time(), graceMs);
        GoneRunners gone = new GoneRunners(ports.grants(), records, ports.engines(), view, takeover);
        return new Runners(ports, view, takeover, gone);
    }

    /** Returns the agent of a runner, if this node owns it. */
    public Optional<RunnerAgent> agent(String runner) {
        return Optional.ofNullable(agents.get(runner)).filter(agent -> !agent.hasEnded());
    }

    /** Returns the agents of all owned runners. */
    public Collection<RunnerAgent> agents() {
        return agents.values().stream().filter(agent -> !agent.hasEnded()).toList();
    }

    /** Returns why this node could not take runners that it should own, by runner. */
    public Map<String, String> obstacles() {
        return Map.copyOf(obstacles);
    }

    /** Takes the runners that this node should own, and tells the agents what the host list says. */
    public void check() {
        agents.values().removeIf(RunnerAgent::hasEnded);
        Hosts hosts = view.hosts();
        Collection<Member<NodeAttributes>> live = view.membership().liveMembers();
        for (Host host : hosts.runners().values()) {
            RunnerAgent agent = agents.get(host.name());
            if (agent != null) {
                noteLaterOwner(host.name());
                tell(agent, host);
            } else if (!leaving && host.state() != HostState.GONE && prefersSelf(host, live)) {
                acquire(host);
            }
        }
        clearGone();
    }

    private void clearGone() {
        checksUntilGone--;
        if (!leaving && checksUntilGone <= 0) {
            checksUntilGone = gone.round(agents.keySet()) ? 1 : CHECKS_PER_SCAN;
        }
    }

    /** Stops ordering a runner as soon as another owner announces it with a later epoch. */
    private void noteLaterOwner(String runner) {
        view.status(runner)
                .ifPresent(status -> ports.grants()
                        .observe(new RunnerRecord(
                                runner,
                                NodeIdentity.of(status.getOwnerNode(), status.getOwnerIncarnation()),
                                status.getEpoch(),
                                Set.of(),
                                false)));
    }

    private static void tell(RunnerAgent agent, Host host) {
        agent.hostSeen(host, host.state() != HostState.LIVE);
        if (host.state() == HostState.GONE) {
            agent.hostGone();
        }
    }

    private boolean prefersSelf(Host host, Collection<Member<NodeAttributes>> live) {
        List<String> candidates = nodes(live, member -> member.locality().zone().equals(host.zone()));
        if (candidates.isEmpty()) {
            candidates = nodes(live, member -> member.locality().region().equals(host.region()));
        }
        if (candidates.isEmpty()) {
            candidates = nodes(live, member -> true);
        }
        return RendezvousHash.preferred(host.name(), candidates)
                .filter(ports.self().node()::equals)
                .isPresent();
    }

    private static List<String> nodes(
            Collection<Member<NodeAttributes>> live, Predicate<Member<NodeAttributes>> filter) {
        return live.stream().filter(filter).map(Member::node).toList();
    }

    private void acquire(Host host) {
        try {
            AcquireResult result = ports.grants().acquire(host.name(), TakeoverEvidence.handedOver());
            if (result instanceof AcquireResult.Refused refused) {
                Optional<TakeoverEvidence> evidence = takeover.evidence(host, refused.current());
                if (evidence.isEmpty()) {
                    obstacle(host, refused.reason());
                    return;
                }
                result = ports.grants().acquire(host.name(), evidence.get());
            }
            acquired(host, result);
        } catch (KvException e) {
            obstacle(host, e.getMessage());
        }
    }

    private void acquired(Host host, AcquireResult result) {
        switch (result) {
            case AcquireResult.Acquired acquired -> {
                obstacles.remove(host.name());
                LOG.write(
                        CoordinatorEvent.RUNNER_ACQUIRED,
                        host.name(),
                        acquired.runner().epoch(),
                        ports.self());
                boolean draining = view.status(host.name())
                        .filter(RunnerStatus::isLeaving)
                        .filter(status -> host.state() == HostState.LIVE)
                        .isPresent();
                agents.put(host.name(), RunnerAgent.start(ports, host, draining));
            }
            case AcquireResult.Refused refused -> obstacle(host, refused.reason());
            case AcquireResult.Lost lost ->
                obstacle(host, "owner is " + lost.current().owner());
        }
    }

    private void obstacle(Host host, String reason) {
        if (!reason.equals(obstacles.put(host.name(), reason))) {
            LOG.write(CoordinatorEvent.RUNNER_NOT_ACQUIRED, host.name(), reason);
        }
    }

    /** Settles the slots of the owned runners with the model records, and gives back what a lowered cap forbids. */
    public void reconcile() {
        try {
            Map<String, ReconcileReport> reports = ports.grants().reconcile(ports.caps());
            reports.forEach((runner, report) -> {
                if (!report.surplus().isEmpty()) {
                    agent(runner).ifPresent(agent -> agent.retire(report.surplus()));
                }
            });
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, "all", "reconciliation", e.getMessage());
        }
    }

    /** Takes no more runners. */
    public void leave() {
        leaving = true;
    }

    /** Hands over the runners with nothing in flight; returns how many are left. */
    public int handOverIdle() {
        agents().forEach(RunnerAgent::handOver);
        agents.values().removeIf(RunnerAgent::hasEnded);
        return agents.size();
    }

    @Override
    public void close() {
        agents.values().forEach(RunnerAgent::close);
    }
}
