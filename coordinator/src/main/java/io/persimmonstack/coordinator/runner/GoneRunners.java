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
final class GoneRunners {
    private static final EventLog LOG = EventLog.of(GoneRunners.class);
    private static final String TASK = "slots of runners that are gone";
    private final RunnerGrants grants;
    private final GrantReader records;
    private final EngineOrders engines;
    private final FleetView view;
    private final Takeover takeover;
    private String lastRunner = "";

    GoneRunners(RunnerGrants grants, GrantReader records, EngineOrders engines, FleetView view, Takeover takeover) {
        this.grants = grants;
        this.records = records;
        this.engines = engines;
        this.view = view;
        this.takeover = takeover;
    }

    /**
     * Looks after the next runner that is gone, if this node is the one that does it.
     *
     * @param agents runners that are ordered here
     * @return whether there may be more
     */
    boolean round(Set<String> agents) {
        if (!isChosen() || view.hosts().runners().keySet().stream().noneMatch(view.hosts()::runnerIsGone)) {
            return false;
        }
        try {
            List<ModelRecord> all = records.models();
            Optional<String> next = next(all, agents);
            if (next.isPresent()) {
                clear(view.hosts().runner(next.get()).orElseThrow(), all);
            }
            lastRunner = next.orElse("");
            return next.isPresent();
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, "all", TASK, e.getMessage());
            return false;
        }
    }

    private boolean isChosen() {
        String self = view.membership().self().node();
        return RendezvousHash.preferred(TASK, view.liveMembers().keySet())
                .filter(self::equals)
                .isPresent();
    }

    /** Returns the first runner after the last one that has slots, is gone and has no agent here. */
    private Optional<String> next(List<ModelRecord> all, Set<String> agents) {
        return all.stream()
                .flatMap(model -> model.entries().stream())
                .map(SlotEntry::runner)
                .filter(view.hosts()::runnerIsGone)
                .filter(runner -> !agents.contains(runner) && runner.compareTo(lastRunner) > 0)
                .min(Comparator.naturalOrder());
    }

    private void clear(Host host, List<ModelRecord> all) throws KvException {
        Optional<RunnerRecord> record = records.runner(host.name());
        Optional<TakeoverEvidence> evidence = record.flatMap(takeover::evidenceOfEnd);
        if (evidence.isEmpty() || EngineCaller.isReachable(engines, host)) {
            return;
        }
        if (!(grants.acquire(host.name(), evidence.get()) instanceof AcquireResult.Acquired)) {
            return;
        }
        boolean cleared = grants.giveBackAll(host.name(), all) instanceof GiveBackResult.GivenBack;
        if (cleared) {
            grants.handOver(host.name());
        }
        LOG.write(CoordinatorEvent.GONE_RUNNER_CLEARED, host.name(), cleared ? "free for others" : "lost meanwhile");
    }
}
