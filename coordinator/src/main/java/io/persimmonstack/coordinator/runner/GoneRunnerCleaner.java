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
 * Gives back the slots of runners that are gone and whose owners are gone too. One node does it, chosen by rendezvous
 * hashing, one runner a round. Runs on the thread that takes runners, so that no agent starts meanwhile.
 */
final class GoneRunnerCleaner {
    private static final EventLog LOG = EventLog.of(GoneRunnerCleaner.class);
    private static final String CLEANUP_TASK = "slots of runners that are gone";
    private final RunnerGrants grants;
    private final GrantReader grantReader;
    private final EngineOrders engines;
    private final FleetView view;
    private final TakeoverEvidenceFinder evidenceFinder;
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
     * Looks after the next runner that is gone, if this node is the one that does it.
     *
     * @param ownedRunners runners that are ordered here
     * @return whether there may be more
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

    private boolean isChosenNode() {
        String self = view.membership().self().node();
        return RendezvousHash.preferred(CLEANUP_TASK, view.liveMembers().keySet())
                .filter(self::equals)
                .isPresent();
    }

    /** Returns the first runner after the last one that has slots, is gone and has no agent here. */
    private Optional<String> nextRunner(List<ModelRecord> modelRecords, Set<String> ownedRunners) {
        return modelRecords.stream()
                .flatMap(model -> model.entries().stream())
                .map(SlotEntry::runner)
                .filter(view.hosts()::runnerIsGone)
                .filter(runner -> !ownedRunners.contains(runner) && runner.compareTo(lastRunner) > 0)
                .min(Comparator.naturalOrder());
    }

    private void clearSlots(Host host, List<ModelRecord> modelRecords) throws KvException {
        Optional<RunnerRecord> record = grantReader.runner(host.name());
        Optional<TakeoverEvidence> evidence = record.flatMap(evidenceFinder::findForEndedOwner);
        if (evidence.isEmpty() || EngineClient.isReachable(engines, host)) {
            return;
        }
        if (!(grants.acquire(host.name(), evidence.get()) instanceof AcquireResult.Acquired)) {
            return;
        }
        boolean cleared = grants.clear(host.name(), modelRecords) instanceof GiveBackResult.GivenBack;
        if (cleared) {
            grants.handOver(host.name());
        }
        LOG.write(CoordinatorEvent.GONE_RUNNER_CLEARED, host.name(), cleared ? "free for others" : "lost meanwhile");
    }
}
