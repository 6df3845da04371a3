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

/** Finds evidence that the recorded owner of a runner can no longer act on it, or asks that owner to hand over. */
final class TakeoverEvidenceFinder {
    private static final int HAND_OVER_TIMEOUT_MS = 3_000;
    private static final int CONNECT_CHECK_TIMEOUT_MS = 500;
    private final NodeIdentity self;
    private final FleetView view;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final long startupGraceNanos;
    private final long startNanos;

    TakeoverEvidenceFinder(
            NodeIdentity self,
            FleetView view,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time,
            long startupGraceMs) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.time = time;
        this.startupGraceNanos = TimeUnit.MILLISECONDS.toNanos(startupGraceMs);
        this.startNanos = time.nanoTime();
    }

    /**
     * Finds evidence for a takeover. A recorded owner that is a participating member is asked to hand over, which
     * blocks for at most {@value #HAND_OVER_TIMEOUT_MS} ms.
     *
     * @param host entry of the runner in the host list
     * @param record current record of the runner
     * @return the evidence, or empty while there is none
     */
    Optional<TakeoverEvidence> find(Host host, RunnerRecord record) {
        NodeIdentity owner = record.owner();
        Optional<Member<NodeAttributes>> member = view.member(owner.node());
        if (owner.node().equals(self.node()) || hasSuccessor(owner, member)) {
            return Optional.of(endedOwnerEvidence(host, owner));
        }
        if (isParticipating(owner, member)) {
            return requestHandOver(record, member.get())
                    ? Optional.of(TakeoverEvidence.handedOver())
                    : Optional.empty();
        }
        if (member.isEmpty() && time.nanoTime() - startNanos < startupGraceNanos) {
            // This node has just started and may not have learned of the owner by gossip yet.
            return Optional.empty();
        }
        if (host.fencing()) {
            return Optional.of(TakeoverEvidence.fencedEngine());
        }
        return isOwnerGone(owner) ? Optional.of(TakeoverEvidence.predecessorGone(owner)) : Optional.empty();
    }

    /**
     * Finds evidence that the recorded owner has ended or handed over. Never asks it to hand over.
     *
     * @param record current record of the runner
     * @return the evidence, or empty while there is none
     */
    Optional<TakeoverEvidence> findForEndedOwner(RunnerRecord record) {
        NodeIdentity owner = record.owner();
        if (record.handingOver()) {
            return Optional.of(TakeoverEvidence.handedOver());
        }
        boolean ownedByThisNode = owner.node().equals(self.node()) && owner.incarnation() <= self.incarnation();
        return ownedByThisNode || hasSuccessor(owner, view.member(owner.node())) || isOwnerGone(owner)
                ? Optional.of(TakeoverEvidence.predecessorGone(owner))
                : Optional.empty();
    }

    /**
     * Returns the evidence for an ended owner. Its last orders may still wait at the engine, so fencing is used if
     * possible.
     */
    private static TakeoverEvidence endedOwnerEvidence(Host host, NodeIdentity owner) {
        return host.fencing() ? TakeoverEvidence.fencedEngine() : TakeoverEvidence.predecessorGone(owner);
    }

    /**
     * Returns whether a later incarnation runs on the owner's node. It holds the listening port, so the owner has
     * ended.
     */
    private boolean hasSuccessor(NodeIdentity owner, Optional<Member<NodeAttributes>> member) {
        return member.filter(candidate -> candidate.incarnation() > owner.incarnation())
                .filter(candidate -> candidate.status() == MemberStatus.ALIVE)
                .isPresent();
    }

    /** Returns whether the owner's process itself is a member that takes part in the fleet. */
    private static boolean isParticipating(NodeIdentity owner, Optional<Member<NodeAttributes>> member) {
        return member.filter(candidate -> candidate.incarnation() == owner.incarnation())
                .filter(candidate -> candidate.status().participates())
                .isPresent();
    }

    /** Asks the owner to hand the runner over; returns whether it did. */
    private boolean requestHandOver(RunnerRecord record, Member<NodeAttributes> owner) {
        HandOverRequest request = new HandOverRequest(record.runner(), self.node(), self.incarnation(), record.epoch());
        try {
            HandOverAnswer answer = peers.call(
                    PeerAddress.parse(owner.address()), HAND_OVER_TIMEOUT_MS, client -> client.handOver(request));
            return answer.getResult() == HandOverResult.HANDED_OVER;
        } catch (WireException e) {
            return false;
        }
    }

    /** Returns whether the host list reports the owner's host as gone and its port does not accept connections. */
    private boolean isOwnerGone(NodeIdentity owner) {
        Host entry = view.hosts().entries().get(owner.node());
        if (entry == null || entry.state() != HostState.GONE) {
            return false;
        }
        try {
            peers.evict(entry.address());
            peers.call(entry.address(), CONNECT_CHECK_TIMEOUT_MS, client -> client.configuration(Long.MAX_VALUE));
            return false;
        } catch (WireException e) {
            return e.progress() == WireException.Progress.NOT_SENT;
        }
    }
}
