package io.persimmonstack.coordination.membership;

/**
 * State of a runner as announced by its owner. Of two announcements the one with the higher epoch wins, then the one
 * with the higher sequence number.
 *
 * @param subject name of the runner
 * @param epoch epoch of the owner
 * @param sequence number of the announcement, increasing within the epoch
 * @param state announced state
 * @param <R> type of the state
 */
public record Announcement<R>(String subject, long epoch, long sequence, R state) {
    /** Returns whether this announcement replaces {@code other}. */
    public boolean supersedes(Announcement<R> other) {
        return version().newerThan(other.version());
    }

    /** Returns the version of this announcement, without the state. */
    public AnnouncementVersion version() {
        return new AnnouncementVersion(subject, epoch, sequence);
    }
}
