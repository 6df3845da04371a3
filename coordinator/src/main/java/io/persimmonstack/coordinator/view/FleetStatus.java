package io.persimmonstack.coordinator.view;

import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.runner.RunnerAgent;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.StatusAnswer;
import io.persimmonstack.wire.gen.StatusLine;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Optional;

/** Answers operators. */
public final class FleetStatus {
    private static final int CALL_TIMEOUT_MS = 2_000;
    private final FleetView view;
    private final Runners runners;
    private final ThriftPeers<Coordinator.Client> peers;

    private FleetStatus(FleetView view, Runners runners, ThriftPeers<Coordinator.Client> peers) {
        this.view = view;
        this.runners = runners;
        this.peers = peers;
    }

    /** Returns the status of a node. */
    public static FleetStatus of(FleetView view, Runners runners, ThriftPeers<Coordinator.Client> peers) {
        return new FleetStatus(view, runners, peers);
    }

    /** Returns members, runners and what hinders this node. */
    public StatusAnswer answer() {
        return new StatusAnswer(
                GossipMapping.toWire(view.membership().self()),
                view.membership().members().stream().map(GossipMapping::toWire).toList(),
                List.copyOf(view.statuses()),
                obstacles());
    }

    private List<StatusLine> obstacles() {
        return runners.obstacles().entrySet().stream()
                .map(entry -> new StatusLine("runner " + entry.getKey(), "not acquired", entry.getValue()))
                .toList();
    }

    /**
     * Lets a runner take no new work, or take it again, through its owner.
     *
     * @param runner name of the runner
     * @param leaving whether it is to take no new work
     * @throws WireRefusal if it has no owner that answers
     */
    public void drain(String runner, boolean leaving) throws WireRefusal {
        Optional<RunnerAgent> here = runners.agent(runner);
        if (here.isPresent()) {
            here.get().setDraining(leaving);
            return;
        }
        Member<NodeAttributes> owner = view.status(runner)
                .map(status -> view.liveMembers().get(status.getOwnerNode()))
                .filter(member -> !member.node().equals(view.membership().self().node()))
                .orElseThrow(() -> new WireRefusal("no-owner", "runner " + runner + " has no live owner"));
        try {
            peers.call(PeerAddress.parse(owner.address()), CALL_TIMEOUT_MS, client -> {
                client.drainRunner(runner, leaving);
                return runner;
            });
        } catch (WireException e) {
            throw new WireRefusal("no-answer", e.getMessage());
        }
    }
}
