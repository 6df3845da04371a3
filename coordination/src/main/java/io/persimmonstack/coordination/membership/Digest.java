package io.persimmonstack.coordination.membership;

import java.util.List;

/**
 * Versions of all entries of the sender, exchanged for anti-entropy.
 *
 * @param members versions of the member entries
 * @param announcements versions of the runner states
 * @param configurationVersion version of the newest configuration that the sender knows
 */
public record Digest(List<MemberVersion> members, List<AnnouncementVersion> announcements, long configurationVersion) {
    /** Copies the lists. */
    public Digest {
        members = List.copyOf(members);
        announcements = List.copyOf(announcements);
    }
}
