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

/** Carries out the operators' status and drain commands. */
public final class OperatorCommands {
    private static final int CALL_TIMEOUT_MS = 2_000;
    private final FleetView view;
    private final Runners runners;
    private final ThriftPeers<Coordinator.Client> peers;

    private OperatorCommands(FleetView view, Runners runners, ThriftPeers<Coordinator.Client> peers) {
        this.view = view;
        this.runners = runners;
        this.peers = peers;
    }

    /**
     * Creates the commands of a node.
     *
     * @param view members, runner states and host list known to the node
     * @param runners runners owned by the node
     * @param peers connections to other coordinators
     * @return the commands
     */
    public static OperatorCommands of(FleetView view, Runners runners, ThriftPeers<Coordinator.Client> peers) {
        return new OperatorCommands(view, runners, peers);
    }

    /** Returns the known members and runners, and why this node could not acquire runners that it should own. */
    public StatusAnswer status() {
        return new StatusAnswer(
                GossipMapping.toWire(view.membership().self()),
                view.membership().members().stream().map(GossipMapping::toWire).toList(),
                List.copyOf(view.statuses()),
                obstacleLines());
    }

    private List<StatusLine> obstacleLines() {
        return runners.obstacles().entrySet().stream()
                .map(entry -> new StatusLine("runner " + entry.getKey(), "not acquired", entry.getValue()))
                .toList();
    }

    /**
     * Starts or ends the draining of a runner. A draining runner is announced as leaving and gets no new work. Forwards
     * the call if another node owns the runner.
     *
     * @param runner name of the runner
     * @param leaving true to start draining, false to end it
     * @throws WireRefusal if the runner has no live owner or the owner does not answer
     */
    public void drain(String runner, boolean leaving) throws WireRefusal {
        Optional<RunnerAgent> localAgent = runners.agent(runner);
        if (localAgent.isPresent()) {
            localAgent.get().drain(leaving);
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
