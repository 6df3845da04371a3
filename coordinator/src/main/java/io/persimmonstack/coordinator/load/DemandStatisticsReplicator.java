package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.policy.StatisticsException;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.ModelUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Replicates demand statistics between coordinators, because no node stores them on disk. Two nodes hold the statistics
 * of each model: its home and its standby. These two also send them to the owners of runners that have the model. A
 * node that starts, or becomes home, standby or owner, receives them from the nodes that have them. Statistics learned
 * from more requests replace those learned from fewer.
 */
public final class DemandStatisticsReplicator {
    /** Hop count that marks a use report as demand statistics of another coordinator. */
    public static final int STATISTICS_HOPS = 2;

    private static final EventLog LOG = EventLog.of(DemandStatisticsReplicator.class);
    private static final int CALL_TIMEOUT_MS = 1_000;
    private static final int MAX_MODELS_PER_CALL = 50;
    private static final long MIN_RESEND_INTERVAL_MS = 60_000;
    /** Runner of an entry that carries statistics, which belong to no runner. */
    private static final String NO_RUNNER = "";
    /** Model name of the entry with the statistics over all models. */
    private static final String ALL_MODELS = "";

    /** Coordinator process that receives statistics; a restarted node has a new incarnation and receives them anew. */
    private record Recipient(String node, long incarnation) {}

    /**
     * Statistics of one model that a recipient has received.
     *
     * @param observations number of requests that the statistics were learned from
     * @param sentAtMs wall-clock time at which they were sent
     */
    private record SentStatistics(long observations, long sentAtMs) {}

    private final FleetView view;
    private final ModelHomes homes;
    private final DemandTracker demandTracker;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final Map<Recipient, Map<LoadKey, SentStatistics>> sentByRecipient = new HashMap<>();

    private DemandStatisticsReplicator(
            FleetView view, DemandTracker demandTracker, ThriftPeers<Coordinator.Client> peers, TimeSource time) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.demandTracker = demandTracker;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Creates the replicator of a node.
     *
     * @param view state of the fleet
     * @param demandTracker demand statistics of this node
     * @param peers connections to coordinators
     * @param time clocks
     * @return the replicator
     */
    public static DemandStatisticsReplicator of(
            FleetView view, DemandTracker demandTracker, ThriftPeers<Coordinator.Client> peers, TimeSource time) {
        return new DemandStatisticsReplicator(view, demandTracker, peers, time);
    }

    /**
     * Sends statistics that are due to their recipients, at most {@value #MAX_MODELS_PER_CALL} models to each. The
     * rest, and those of failed calls, are sent by later calls.
     */
    public synchronized void replicate() {
        Map<String, Member<NodeAttributes>> live = view.liveMembers();
        sentByRecipient.keySet().removeIf(recipient -> !isLive(recipient, live));
        Map<String, Set<String>> ownersByModel = ownersByModel();
        Map<Recipient, List<LoadKey>> keysByRecipient = new LinkedHashMap<>();
        for (LoadKey key : demandTracker.observedKeys()) {
            for (Recipient recipient : recipients(key, ownersByModel, live)) {
                keysByRecipient
                        .computeIfAbsent(recipient, ignored -> new ArrayList<>())
                        .add(key);
            }
        }
        keysByRecipient.forEach(
                (recipient, keys) -> send(recipient, live.get(recipient.node()).address(), keys));
    }

    private static boolean isLive(Recipient recipient, Map<String, Member<NodeAttributes>> live) {
        Member<NodeAttributes> member = live.get(recipient.node());
        return member != null && member.incarnation() == recipient.incarnation();
    }

    /** Returns, by model version, the owners of the runners that announce the model, whatever its state. */
    private Map<String, Set<String>> ownersByModel() {
        Map<String, Set<String>> ownersByModel = new HashMap<>();
        for (RunnerView runner : view.runners()) {
            runner.status()
                    .getModels()
                    .forEach(model -> ownersByModel
                            .computeIfAbsent(model.getModel(), ignored -> new HashSet<>())
                            .add(runner.status().getOwnerNode()));
        }
        return ownersByModel;
    }

    /** Returns the live nodes, other than this one, to which the statistics of a model are due. */
    private List<Recipient> recipients(
            LoadKey key, Map<String, Set<String>> ownersByModel, Map<String, Member<NodeAttributes>> live) {
        List<String> homeAndStandby = homes.homeAndStandby(key);
        boolean keepsStatistics = homeAndStandby.contains(homes.self());
        Set<String> nodes = new HashSet<>(homeAndStandby);
        if (keepsStatistics) {
            nodes.addAll(ownersByModel.getOrDefault(key.model().toString(), Set.of()));
        }
        nodes.remove(homes.self());
        return nodes.stream()
                .filter(live::containsKey)
                .map(node -> new Recipient(node, live.get(node).incarnation()))
                .filter(recipient -> isDue(recipient, key, keepsStatistics))
                .toList();
    }

    /**
     * Returns whether to send a model's statistics: any node sends them once, home and standby send them again when
     * they have learned more, at most once in {@value #MIN_RESEND_INTERVAL_MS} ms.
     */
    private boolean isDue(Recipient recipient, LoadKey key, boolean keepsStatistics) {
        SentStatistics lastSent =
                sentByRecipient.getOrDefault(recipient, Map.of()).get(key);
        if (lastSent == null) {
            return true;
        }
        boolean resendDue = time.currentTimeMillis() - lastSent.sentAtMs() >= MIN_RESEND_INTERVAL_MS;
        return keepsStatistics && resendDue && demandTracker.observations(key) > lastSent.observations();
    }

    /** Sends a batch to a recipient; the first one that it gets also has the statistics over all models. */
    private void send(Recipient recipient, String address, List<LoadKey> keys) {
        List<LoadKey> batch = keys.subList(0, Math.min(MAX_MODELS_PER_CALL, keys.size()));
        Map<LoadKey, SentStatistics> sentStatistics = new HashMap<>();
        List<ModelUse> message = new ArrayList<>();
        if (!sentByRecipient.containsKey(recipient)) {
            demandTracker
                    .fleetStatistics()
                    .ifPresent(statistics -> message.add(toEntry(ALL_MODELS, Optional.empty(), statistics)));
        }
        for (LoadKey key : batch) {
            sentStatistics.put(key, new SentStatistics(demandTracker.observations(key), time.currentTimeMillis()));
            demandTracker
                    .statistics(key)
                    .ifPresent(statistics -> message.add(toEntry(key.model().toString(), key.adapter(), statistics)));
        }
        try {
            peers.call(PeerAddress.parse(address), CALL_TIMEOUT_MS, client -> {
                client.reportUse(message, STATISTICS_HOPS);
                return true;
            });
            sentByRecipient
                    .computeIfAbsent(recipient, ignored -> new HashMap<>())
                    .putAll(sentStatistics);
        } catch (WireException e) {
            // Not recorded as sent, so the next run sends the batch again.
            return;
        }
    }

    private static ModelUse toEntry(String model, Optional<String> adapter, List<Double> statistics) {
        ModelUse entry = new ModelUse(model, NO_RUNNER, 0, 0);
        adapter.ifPresent(entry::setAdapter);
        entry.setStatistics(statistics);
        return entry;
    }

    /**
     * Adopts the statistics of another node where they were learned from more requests than this node's. Logs and skips
     * unreadable ones.
     *
     * @param entries statistics, one entry for each model or adapter
     */
    public void adopt(List<ModelUse> entries) {
        for (ModelUse entry : entries) {
            try {
                if (entry.getModel().equals(ALL_MODELS)) {
                    demandTracker.adoptFleetStatistics(entry.getStatistics());
                } else {
                    ModelVersion model = ModelVersion.parse(entry.getModel());
                    demandTracker.adopt(
                            new LoadKey(model, Optional.ofNullable(entry.getAdapter())), entry.getStatistics());
                }
            } catch (StatisticsException | IllegalArgumentException e) {
                LOG.write(CoordinatorEvent.STATISTICS_UNREADABLE, entry.getModel(), e.getMessage());
            }
        }
    }
}
