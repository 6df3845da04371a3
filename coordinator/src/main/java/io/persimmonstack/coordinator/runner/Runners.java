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
import io.persimmonstack.coordinator.view.HostListSnapshot;
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
 * Registry of the runners that this node owns, with their agents. Each runner has one preferred owner, chosen by
 * rendezvous hashing among the live nodes of its zone, else of its region, else of the fleet. That node acquires the
 * runner once the recorded owner has handed it over or can no longer act on it.
 */
public final class Runners implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(Runners.class);
    private static final int CHECKS_BETWEEN_SCANS = 30;

    private final RunnerAgentContext context;
    private final FleetView view;
    private final TakeoverEvidenceFinder evidenceFinder;
    private final GoneRunnerCleaner goneRunnerCleaner;
    private final Map<String, RunnerAgent> agents = new ConcurrentHashMap<>();
    private final Map<String, String> obstacles = new ConcurrentHashMap<>();
    private volatile boolean acquisitionStopped;
    private int checksUntilScan = CHECKS_BETWEEN_SCANS;

    private Runners(
            RunnerAgentContext context,
            FleetView view,
            TakeoverEvidenceFinder evidenceFinder,
            GoneRunnerCleaner goneRunnerCleaner) {
        this.context = context;
        this.view = view;
        this.evidenceFinder = evidenceFinder;
        this.goneRunnerCleaner = goneRunnerCleaner;
    }

    /**
     * Creates the registry of a process that owns no runners yet.
     *
     * @param context dependencies that all agents share
     * @param grantReader reads slots and owners from the key-value store
     * @param view state of the fleet
     * @param peers connections to coordinators
     * @param startupGraceMs time after the start during which an owner that is not a known member yet is not taken for
     *     dead
     * @return the registry
     */
    public static Runners of(
            RunnerAgentContext context,
            GrantReader grantReader,
            FleetView view,
            ThriftPeers<Coordinator.Client> peers,
            long startupGraceMs) {
        TakeoverEvidenceFinder evidenceFinder =
                new TakeoverEvidenceFinder(context.self(), view, peers, context.time(), startupGraceMs);
        GoneRunnerCleaner goneRunnerCleaner =
                new GoneRunnerCleaner(context.grants(), grantReader, context.engines(), view, evidenceFinder);
        return new Runners(context, view, evidenceFinder, goneRunnerCleaner);
    }

    /** Returns the agent of a runner, if this node owns it. */
    public Optional<RunnerAgent> agent(String runner) {
        return Optional.ofNullable(agents.get(runner)).filter(agent -> !agent.hasEnded());
    }

    /** Returns the agents of all owned runners. */
    public Collection<RunnerAgent> agents() {
        return agents.values().stream().filter(agent -> !agent.hasEnded()).toList();
    }

    /** Returns, by runner name, why this node could not acquire runners that it should own. */
    public Map<String, String> obstacles() {
        return Map.copyOf(obstacles);
    }

    /**
     * Acquires the runners that this node should own, and passes changes of the host list to the agents; called
     * periodically.
     */
    public void updateOwnership() {
        agents.values().removeIf(RunnerAgent::hasEnded);
        HostListSnapshot hosts = view.hosts();
        Collection<Member<NodeAttributes>> live = view.membership().liveMembers();
        for (Host host : hosts.runners().values()) {
            RunnerAgent agent = agents.get(host.name());
            if (agent != null) {
                observeAnnouncedOwner(host.name());
                updateAgent(agent, host);
            } else if (!acquisitionStopped && host.state() != HostState.GONE && isPreferredOwner(host, live)) {
                acquire(host);
            }
        }
        clearGoneRunners();
    }

    /**
     * Gives back the slots of one gone runner on each check while a scan finds some; the next scan starts
     * {@value #CHECKS_BETWEEN_SCANS} checks later.
     */
    private void clearGoneRunners() {
        checksUntilScan--;
        if (!acquisitionStopped && checksUntilScan <= 0) {
            checksUntilScan = goneRunnerCleaner.clearNext(agents.keySet()) ? 1 : CHECKS_BETWEEN_SCANS;
        }
    }

    /** Records an announcement of the runner, so that this node stops ordering if it carries a later epoch. */
    private void observeAnnouncedOwner(String runner) {
        view.status(runner)
                .ifPresent(status -> context.grants()
                        .observe(new RunnerRecord(
                                runner,
                                NodeIdentity.of(status.getOwnerNode(), status.getOwnerIncarnation()),
                                status.getEpoch(),
                                Set.of(),
                                false)));
    }

    /** Passes the host list entry of a runner to its agent. */
    private static void updateAgent(RunnerAgent agent, Host host) {
        agent.updateHost(host, host.state() != HostState.LIVE);
        if (host.state() == HostState.GONE) {
            agent.releaseIfUnreachable();
        }
    }

    /** Returns whether rendezvous hashing prefers this node among those nearest to the runner. */
    private boolean isPreferredOwner(Host host, Collection<Member<NodeAttributes>> live) {
        List<String> candidates =
                nodesMatching(live, member -> member.locality().zone().equals(host.zone()));
        if (candidates.isEmpty()) {
            candidates =
                    nodesMatching(live, member -> member.locality().region().equals(host.region()));
        }
        if (candidates.isEmpty()) {
            candidates = nodesMatching(live, member -> true);
        }
        return RendezvousHash.preferred(host.name(), candidates)
                .filter(context.self().node()::equals)
                .isPresent();
    }

    private static List<String> nodesMatching(
            Collection<Member<NodeAttributes>> live, Predicate<Member<NodeAttributes>> filter) {
        return live.stream().filter(filter).map(Member::node).toList();
    }

    /** Acquires a free runner, or takes it over if there is evidence that the recorded owner can no longer act. */
    private void acquire(Host host) {
        try {
            AcquireResult result = context.grants().acquire(host.name(), TakeoverEvidence.handedOver());
            if (result instanceof AcquireResult.Refused refused) {
                Optional<TakeoverEvidence> evidence = evidenceFinder.find(host, refused.current());
                if (evidence.isEmpty()) {
                    recordObstacle(host, refused.reason());
                    return;
                }
                result = context.grants().acquire(host.name(), evidence.get());
            }
            handleAcquireResult(host, result);
        } catch (KvException e) {
            recordObstacle(host, e.getMessage());
        }
    }

    /** Starts the agent of an acquired runner, draining it if its former owner did; records the obstacle otherwise. */
    private void handleAcquireResult(Host host, AcquireResult result) {
        switch (result) {
            case AcquireResult.Acquired acquired -> {
                obstacles.remove(host.name());
                LOG.write(
                        CoordinatorEvent.RUNNER_ACQUIRED,
                        host.name(),
                        acquired.runner().epoch(),
                        context.self());
                boolean draining = view.status(host.name())
                        .filter(RunnerStatus::isLeaving)
                        .filter(status -> host.state() == HostState.LIVE)
                        .isPresent();
                agents.put(host.name(), RunnerAgent.start(context, host, draining));
            }
            case AcquireResult.Refused refused -> recordObstacle(host, refused.reason());
            case AcquireResult.Lost lost ->
                recordObstacle(host, "owner is " + lost.current().owner());
        }
    }

    /** Remembers why a runner was not acquired, and logs the reason if it is new. */
    private void recordObstacle(Host host, String reason) {
        if (!reason.equals(obstacles.put(host.name(), reason))) {
            LOG.write(CoordinatorEvent.RUNNER_NOT_ACQUIRED, host.name(), reason);
        }
    }

    /**
     * Reconciles the slots of the owned runners with the model records, and retires slots that exceed a lowered cap.
     */
    public void reconcile() {
        try {
            Map<String, ReconcileReport> reports = context.grants().reconcile(context.caps());
            reports.forEach((runner, report) -> {
                if (!report.surplus().isEmpty()) {
                    agent(runner).ifPresent(agent -> agent.retireSlots(report.surplus()));
                }
            });
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, "all", "reconciliation", e.getMessage());
        }
    }

    /** Stops the acquisition of further runners. */
    public void stopAcquiring() {
        acquisitionStopped = true;
    }

    /** Starts to hand over the runners without orders in flight; returns how many this node still owns. */
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
