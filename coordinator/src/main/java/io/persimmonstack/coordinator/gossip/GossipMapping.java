package io.persimmonstack.coordinator.gossip;

import io.persimmonstack.coordination.membership.Announcement;
import io.persimmonstack.coordination.membership.AnnouncementVersion;
import io.persimmonstack.coordination.membership.Digest;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.membership.MemberVersion;
import io.persimmonstack.coordination.membership.SyncAnswer;
import io.persimmonstack.coordination.membership.Updates;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.RunnerVersion;

/** Converts membership messages between the membership library's records and the generated Thrift types. */
public final class GossipMapping {
    private GossipMapping() {}

    /** Converts a member to its Thrift form. */
    public static io.persimmonstack.wire.gen.Member toWire(Member<NodeAttributes> member) {
        NodeAttributes attributes = member.attributes();
        return new io.persimmonstack.wire.gen.Member(
                member.node(),
                member.incarnation(),
                member.sequence(),
                toWire(member.status()),
                member.locality().zone(),
                member.locality().region(),
                member.address(),
                attributes.routerState(),
                attributes.routerCallersAddress(),
                attributes.routerPeerAddress(),
                attributes.configurationVersion(),
                attributes.routerIncarnation());
    }

    /** Converts a member from its Thrift form. */
    public static Member<NodeAttributes> fromWire(io.persimmonstack.wire.gen.Member member) {
        NodeAttributes attributes = new NodeAttributes(
                member.getRouterState(),
                member.getRouterCallersAddress(),
                member.getRouterPeerAddress(),
                member.getRouterIncarnation(),
                member.getConfigurationVersion());
        return new Member<>(
                member.getNode(),
                member.getIncarnation(),
                member.getSequence(),
                fromWire(member.getStatus()),
                new Locality(member.getZone(), member.getRegion()),
                member.getCoordinatorAddress(),
                attributes);
    }

    private static io.persimmonstack.wire.gen.MemberStatus toWire(MemberStatus status) {
        return switch (status) {
            case ALIVE -> io.persimmonstack.wire.gen.MemberStatus.ALIVE;
            case LEAVING -> io.persimmonstack.wire.gen.MemberStatus.LEAVING;
            case SUSPECT -> io.persimmonstack.wire.gen.MemberStatus.SUSPECT;
            case DEAD -> io.persimmonstack.wire.gen.MemberStatus.DEAD;
        };
    }

    private static MemberStatus fromWire(io.persimmonstack.wire.gen.MemberStatus status) {
        return switch (status) {
            case ALIVE -> MemberStatus.ALIVE;
            case LEAVING -> MemberStatus.LEAVING;
            case SUSPECT -> MemberStatus.SUSPECT;
            case DEAD -> MemberStatus.DEAD;
        };
    }

    /** Wraps a runner's state in an announcement that carries its name, epoch and sequence number. */
    public static Announcement<RunnerStatus> announcement(RunnerStatus status) {
        return new Announcement<>(status.getRunner(), status.getEpoch(), status.getSequence(), status);
    }

    /** Converts updates to their Thrift form. */
    public static io.persimmonstack.wire.gen.Updates toWire(Updates<NodeAttributes, RunnerStatus> updates) {
        return new io.persimmonstack.wire.gen.Updates(
                updates.members().stream().map(GossipMapping::toWire).toList(),
                updates.announcements().stream().map(Announcement::state).toList(),
                updates.configurationVersion());
    }

    /** Converts updates from their Thrift form. */
    public static Updates<NodeAttributes, RunnerStatus> fromWire(io.persimmonstack.wire.gen.Updates updates) {
        return new Updates<>(
                updates.getMembers().stream().map(GossipMapping::fromWire).toList(),
                updates.getRunners().stream().map(GossipMapping::announcement).toList(),
                updates.getConfigurationVersion());
    }

    /** Converts a digest to its Thrift form. */
    public static io.persimmonstack.wire.gen.Digest toWire(Digest digest) {
        return new io.persimmonstack.wire.gen.Digest(
                digest.members().stream()
                        .map(version -> new io.persimmonstack.wire.gen.MemberVersion(
                                version.node(), version.incarnation(), version.sequence(), toWire(version.status())))
                        .toList(),
                digest.announcements().stream()
                        .map(version -> new RunnerVersion(version.subject(), version.epoch(), version.sequence()))
                        .toList(),
                digest.configurationVersion());
    }

    /** Converts a digest from its Thrift form. */
    public static Digest fromWire(io.persimmonstack.wire.gen.Digest digest) {
        return new Digest(
                digest.getMembers().stream()
                        .map(version -> new MemberVersion(
                                version.getNode(),
                                version.getIncarnation(),
                                version.getSequence(),
                                fromWire(version.getStatus())))
                        .toList(),
                digest.getRunners().stream()
                        .map(version ->
                                new AnnouncementVersion(version.getRunner(), version.getEpoch(), version.getSequence()))
                        .toList(),
                digest.getConfigurationVersion());
    }

    /** Converts the answer to a digest to its Thrift form. */
    public static io.persimmonstack.wire.gen.SyncAnswer toWire(SyncAnswer<NodeAttributes, RunnerStatus> answer) {
        return new io.persimmonstack.wire.gen.SyncAnswer(
                toWire(answer.newer()), answer.wantedMembers(), answer.wantedSubjects());
    }

    /** Converts the answer to a digest from its Thrift form. */
    public static SyncAnswer<NodeAttributes, RunnerStatus> fromWire(io.persimmonstack.wire.gen.SyncAnswer answer) {
        return new SyncAnswer<>(fromWire(answer.getNewer()), answer.getWantedMembers(), answer.getWantedRunners());
    }
}
