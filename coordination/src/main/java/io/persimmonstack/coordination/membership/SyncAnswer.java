package io.persimmonstack.coordination.membership;

import java.util.List;

/**
 * Answer to a digest.
 *
 * @param newer entries that are newer at the receiver of the digest
 * @param wantedMembers nodes whose entries are newer at the sender of the digest
 * @param wantedSubjects runners whose states are newer at the sender of the digest
 * @param <A> type of the member attributes
 * @param <R> type of the runner states
 */
public record SyncAnswer<A, R>(Updates<A, R> newer, List<String> wantedMembers, List<String> wantedSubjects) {
    /** Copies the lists. */
    public SyncAnswer {
        wantedMembers = List.copyOf(wantedMembers);
        wantedSubjects = List.copyOf(wantedSubjects);
    }
}
