package io.persimmonstack.coordination.membership;

import java.util.List;

/**
 * Updates carried by one gossip message.
 *
 * @param members changed member entries
 * @param announcements changed runner states
 * @param configurationVersion version of the newest configuration that the sender knows, 0 if it knows none
 * @param <A> type of the member attributes
 * @param <R> type of the runner states
 */
public record Updates<A, R>(List<Member<A>> members, List<Announcement<R>> announcements, long configurationVersion) {
    /** Copies the lists. */
    public Updates {
        members = List.copyOf(members);
        announcements = List.copyOf(announcements);
    }

    /** Returns whether there are neither members nor announcements, whatever the configuration version. */
    public boolean isEmpty() {
        return members.isEmpty() && announcements.isEmpty();
    }
}
