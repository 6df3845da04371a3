package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineOrders;
import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.coordination.grant.AcquireResult;
import io.persimmonstack.coordination.grant.GiveBackResult;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.ModelRecord;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.grant.SlotEntry;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Gives back the slots of runners that are gone and whose owners have ended or handed over. One node of the fleet does
 * so, chosen by rendezvous hashing, one runner for each call. Runs on the thread that acquires runners, so that no
 * agent for the runner starts meanwhile.
 */
final class GoneRunnerCleaner {
    private static final EventLog LOG = EventLog.of(GoneRunnerCleaner.class);
    /** Key of the rendezvous hash that chooses the node, and name of the task in the log; the same on all nodes. */
    private static final String CLEANUP_TASK = "slots of runners that are gone";

    private final RunnerGrants grants;
    private final GrantReader grantReader;
    private final EngineOrders engines;
    private final FleetView view;
    private final TakeoverEvidenceFinder evidenceFinder;
    /** Runner that the last call examined; empty at the start of a scan. */
    private String lastRunner = "";

    GoneRunnerCleaner(
            RunnerGrants grants,
            GrantReader grantReader,
            EngineOrders engines,
            FleetView view,
            TakeoverEvidenceFinder evidenceFinder) {
        this.grants = grants;
        this.grantReader = grantReader;
        this.engines = engines;
        this.view = view;
        this.evidenceFinder = evidenceFinder;
    }

    /**
     * Gives back the slots of the next gone runner, by name, if this node is the chosen one. Failures are logged.
     *
     * @param ownedRunners runners that have an agent on this node, which are skipped
     * @return whether a runner was examined, so that there may be more; false at the end of the scan or on a failure
     */
    boolean clearNext(Set<String> ownedRunners) {
        if (!isChosenNode() || view.hosts().runners().keySet().stream().noneMatch(view.hosts()::runnerIsGone)) {
            return false;
        }
        try {
            List<ModelRecord> modelRecords = grantReader.models();
            Optional<String> nextRunner = nextRunner(modelRecords, ownedRunners);
            if (nextRunner.isPresent()) {
                clearSlots(view.hosts().runner(nextRunner.get()).orElseThrow(), modelRecords);
            }
            lastRunner = nextRunner.orElse("");
            return nextRunner.isPresent();
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, "all", CLEANUP_TASK, e.getMessage());
            return false;
        }
    }

    /** Returns whether rendezvous hashing chooses this node among the live ones for the task. */
    private boolean isChosenNode() {
        String self = view.membership().self().node();
        return RendezvousHash.preferred(CLEANUP_TASK, view.liveMembers().keySet())
                .filter(self::equals)
                .isPresent();
    }

    /** Returns the first runner by name after the last one that holds slots, is gone and has no agent on this node. */
    private Optional<String> nextRunner(List<ModelRecord> modelRecords, Set<String> ownedRunners) {
        return modelRecords.stream()
                .flatMap(model -> model.entries().stream())
                .map(SlotEntry::runner)
                .filter(view.hosts()::runnerIsGone)
                .filter(runner -> !ownedRunners.contains(runner) && runner.compareTo(lastRunner) > 0)
                .min(Comparator.naturalOrder());
    }

    /** Takes over a runner whose engine and owner can no longer act, gives back its slots and hands it over. */
    private void clearSlots(Host host, List<ModelRecord> modelRecords) throws KvException {
        Optional<RunnerRecord> record = grantReader.runner(host.name());
        Optional<TakeoverEvidence> evidence = record.flatMap(evidenceFinder::findForEndedOwner);
        if (evidence.isEmpty() || EngineClient.isReachable(engines, host)) {
            return;
        }
        if (!(grants.acquire(host.name(), evidence.get()) instanceof AcquireResult.Acquired)) {
            return;
        }
        boolean cleared = grants.giveBackAll(host.name(), modelRecords) instanceof GiveBackResult.GivenBack;
        if (cleared) {
            grants.handOver(host.name());
        }
        LOG.write(CoordinatorEvent.GONE_RUNNER_CLEARED, host.name(), cleared ? "given back" : "not given back");
    }
}
