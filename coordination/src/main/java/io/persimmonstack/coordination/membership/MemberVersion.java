package io.persimmonstack.coordination.membership;

import java.util.Comparator;

/**
 * Version of a member entry. Ordered by incarnation, sequence and rank of the status.
 *
 * @param node name of the node
 * @param incarnation number of the process
 * @param sequence number of the entry within the incarnation
 * @param status status of the member
 */
public record MemberVersion(String node, long incarnation, long sequence, MemberStatus status)
        implements Comparable<MemberVersion> {
    private static final Comparator<MemberVersion> ORDER = Comparator.comparingLong(MemberVersion::incarnation)
            .thenComparingLong(MemberVersion::sequence)
            .thenComparingInt(version -> version.status().rank());

    @Override
    public int compareTo(MemberVersion other) {
        return ORDER.compare(this, other);
    }
}
