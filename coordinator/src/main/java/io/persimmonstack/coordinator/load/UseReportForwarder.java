package io.persimmonstack.coordinator.load;

import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.ModelUse;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards the routers' use reports to the owners of the runners, which keep models in use loaded, and to the homes of
 * the models, which decide on preloading. Both learn the demand from them. Thread-safe.
 */
public final class UseReportForwarder {
    private static final EventLog LOG = EventLog.of(UseReportForwarder.class);
    private static final int CALL_TIMEOUT_MS = 1_000;
    private final FleetView view;
    private final ModelHomes homes;
    private final Runners runners;
    private final DemandTracker demandTracker;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;

    private UseReportForwarder(
            FleetView view,
            Runners runners,
            DemandTracker demandTracker,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.runners = runners;
        this.demandTracker = demandTracker;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Creates the forwarder of a node.
     *
     * @param view state of the fleet
     * @param runners runners that this node owns
     * @param demandTracker learns the demand
     * @param peers connections to coordinators
     * @param time clocks
     * @return the forwarder
     */
    public static UseReportForwarder of(
            FleetView view,
            Runners runners,
            DemandTracker demandTracker,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        return new UseReportForwarder(view, runners, demandTracker, peers, time);
    }

    /**
     * Records the uses that concern this node and, for a router's report, forwards the others. Logs and skips uses
     * whose model name is malformed.
     *
     * @param uses requests since the last report
     * @param hops 0 for a report from a router, 1 for one forwarded by a coordinator, which is not forwarded again
     */
    public void report(List<ModelUse> uses, int hops) {
        Map<String, List<ModelUse>> usesByNode = new HashMap<>();
        for (ModelUse use : uses) {
            if (!hasValidModel(use)) {
                continue;
            }
            Set<String> receivers = hops == 0 ? receivers(use) : Set.of(homes.self());
            for (String node : receivers) {
                if (node.equals(homes.self())) {
                    recordUse(use);
                } else {
                    usesByNode
                            .computeIfAbsent(node, ignored -> new ArrayList<>())
                            .add(use);
                }
            }
        }
        usesByNode.forEach(this::forward);
    }

    /** Returns whether the name of a model can be read; logs why not. */
    private static boolean hasValidModel(ModelUse use) {
        try {
            baseKey(use);
            return true;
        } catch (IllegalArgumentException e) {
            LOG.write(CoordinatorEvent.USE_UNREADABLE, use.getModel(), e.getMessage());
            return false;
        }
    }

    /** Returns the nodes that a router's report of a use goes to: the owner of the runner and the home of the model. */
    private Set<String> receivers(ModelUse use) {
        Set<String> nodes = new HashSet<>();
        if (runners.agent(use.getRunner()).isPresent()) {
            nodes.add(homes.self());
        } else {
            view.status(use.getRunner()).map(RunnerStatus::getOwnerNode).ifPresent(nodes::add);
        }
        homes.home(baseKey(use)).ifPresent(nodes::add);
        return nodes;
    }

    private static LoadKey baseKey(ModelUse use) {
        return new LoadKey(ModelVersion.parse(use.getModel()), Optional.empty());
    }

    /** Records a use of the base model and, if one is named, of the adapter. */
    private void recordUse(ModelUse use) {
        LoadKey base = baseKey(use);
        recordUse(use, base);
        if (use.isSetAdapter()) {
            recordUse(use, new LoadKey(base.model(), Optional.of(use.getAdapter())));
        }
    }

    private void recordUse(ModelUse use, LoadKey key) {
        runners.agent(use.getRunner()).ifPresent(agent -> agent.recordUse(key, use.getLastUseAgoMs()));
        demandTracker.observe(key, time.currentTimeMillis() - use.getLastUseAgoMs());
    }

    private void forward(String node, List<ModelUse> uses) {
        Member<NodeAttributes> member = view.liveMembers().get(node);
        if (member == null) {
            return;
        }
        try {
            peers.call(PeerAddress.parse(member.address()), CALL_TIMEOUT_MS, client -> {
                client.reportUse(uses, 1);
                return node;
            });
        } catch (WireException e) {
            // The next report follows within seconds; a lost one shortens a keep-alive at worst.
            return;
        }
    }
}
