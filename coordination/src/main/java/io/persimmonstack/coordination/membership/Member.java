package io.persimmonstack.coordination.membership;

/**
 * Immutable entry of one node: its own announcement, and its status as seen by the fleet.
 *
 * @param node name of the node
 * @param incarnation number of the process, higher with each start
 * @param sequence number of the entry, raised by the member with each change of its own entry
 * @param status status of the member
 * @param locality zone and region of the member
 * @param address address at which the member receives gossip messages
 * @param attributes further attributes announced by the member
 * @param <A> type of the attributes
 */
public record Member<A>(
        String node,
        long incarnation,
        long sequence,
        MemberStatus status,
        Locality locality,
        String address,
        A attributes) {
    /** Returns the same entry with another status. */
    public Member<A> withStatus(MemberStatus newStatus) {
        return new Member<>(node, incarnation, sequence, newStatus, locality, address, attributes);
    }

    /** Returns the next entry of the same incarnation, with the given sequence, status and attributes. */
    Member<A> next(long newSequence, MemberStatus newStatus, A newAttributes) {
        return new Member<>(node, incarnation, newSequence, newStatus, locality, address, newAttributes);
    }

    /** Returns the same entry under another incarnation. */
    Member<A> withIncarnation(long newIncarnation) {
        return new Member<>(node, newIncarnation, sequence, status, locality, address, attributes);
    }

    /** Returns whether this entry replaces {@code other}. */
    public boolean supersedes(Member<A> other) {
        return version().compareTo(other.version()) > 0;
    }

    /** Returns the version of this entry, without locality, address and attributes. */
    public MemberVersion version() {
        return new MemberVersion(node, incarnation, sequence, status);
    }
}
