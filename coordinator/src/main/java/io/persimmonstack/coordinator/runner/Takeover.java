package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.HandOverAnswer;
import io.persimmonstack.wire.gen.HandOverRequest;
import io.persimmonstack.wire.gen.HandOverResult;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Finds the evidence that a runner's owner on record can do no more harm, or asks it to hand over. */
final class Takeover {
    private static final int HAND_OVER_TIMEOUT_MS = 3_000;
    private static final int REACH_TIMEOUT_MS = 500;
    private final NodeIdentity self;
    private final FleetView view;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final long graceNanos;
    private final long startNanos;

    Takeover(NodeIdentity self, FleetView view, ThriftPeers<Coordinator.Client> peers, TimeSource time, long graceMs) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.time = time;
        this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMs);
        this.startNanos = time.nanoTime();
    }

    /**
     * Looks for evidence.
     *
     * @param host entry of the runner in the host list
     * @param record runner record as found
     * @return the evidence, or empty while there is none
     */
    Optional<TakeoverEvidence> evidence(Host host, RunnerRecord record) {
        NodeIdentity owner = record.owner();
        Optional<Member<NodeAttributes>> member = view.member(owner.node());
        if (owner.node().equals(self.node()) || hasSuccessor(owner, member)) {
            return Optional.of(gone(host, owner));
        }
        if (takesPart(owner, member)) {
            return asksToHandOver(record, member.get()) ? Optional.of(TakeoverEvidence.handedOver()) : Optional.empty();
        }
        if (member.isEmpty() && time.nanoTime() - startNanos < graceNanos) {
            // This node has just started and may not have heard of the owner yet.
            return Optional.empty();
        }
        if (host.epochs()) {
            return Optional.of(TakeoverEvidence.fencedEngine());
        }
        return isGone(owner) ? Optional.of(TakeoverEvidence.predecessorGone(owner)) : Optional.empty();
    }

    /**
     * Looks for evidence that the owner on record has ended or handed over. Asks nobody to hand over.
     *
     * @param record runner record as found
     * @return the evidence, or empty while there is none
     */
    Optional<TakeoverEvidence> evidenceOfEnd(RunnerRecord record) {
        NodeIdentity owner = record.owner();
        if (record.handingOver()) {
            return Optional.of(TakeoverEvidence.handedOver());
        }
        boolean earlierHere = owner.node().equals(self.node()) && owner.incarnation() <= self.incarnation();
        return earlierHere || hasSuccessor(owner, view.member(owner.node())) || isGone(owner)
                ? Optional.of(TakeoverEvidence.predecessorGone(owner))
                : Optional.empty();
    }

    /** Orders that a process sent before it ended may still wait at the engine, so one that fences is fenced. */
    private static TakeoverEvidence gone(Host host, NodeIdentity owner) {
        return host.epochs() ? TakeoverEvidence.fencedEngine() : TakeoverEvidence.predecessorGone(owner);
    }

    /** The next incarnation on the owner's node holds its listening port, so the owner's process has ended. */
    private boolean hasSuccessor(NodeIdentity owner, Optional<Member<NodeAttributes>> member) {
        return member.filter(known -> known.incarnation() > owner.incarnation())
                .filter(known -> known.status() == MemberStatus.ALIVE)
                .isPresent();
    }

    private static boolean takesPart(NodeIdentity owner, Optional<Member<NodeAttributes>> member) {
        return member.filter(known -> known.incarnation() == owner.incarnation())
                .filter(known -> known.status().participates())
                .isPresent();
    }

    private boolean asksToHandOver(RunnerRecord record, Member<NodeAttributes> owner) {
        HandOverRequest request = new HandOverRequest(record.runner(), self.node(), self.incarnation(), record.epoch());
        try {
            HandOverAnswer answer = peers.call(
                    PeerAddress.parse(owner.address()), HAND_OVER_TIMEOUT_MS, client -> client.handOver(request));
            return answer.getResult() == HandOverResult.HANDED_OVER;
        } catch (WireException e) {
            return false;
        }
    }

    /** The host list says that the owner's host is gone, and its port cannot be connected to. */
    private boolean isGone(NodeIdentity owner) {
        Host entry = view.hosts().entries().get(owner.node());
        if (entry == null || entry.state() != HostState.GONE) {
            return false;
        }
        try {
            peers.evict(entry.address());
            peers.call(entry.address(), REACH_TIMEOUT_MS, client -> client.configuration(Long.MAX_VALUE));
            return false;
        } catch (WireException e) {
            return e.progress() == WireException.Progress.NOT_SENT;
        }
    }
}
