package io.persimmonstack.coordination.membership;

/**
 * Version of an announcement, ordered by epoch, then sequence number.
 *
 * @param subject name of the runner
 * @param epoch epoch of the owner
 * @param sequence number of the announcement, increasing within the epoch
 */
public record AnnouncementVersion(String subject, long epoch, long sequence) {
    /** Returns whether this version is newer than {@code other}, which is of the same runner. */
    public boolean newerThan(AnnouncementVersion other) {
        return epoch != other.epoch ? epoch > other.epoch : sequence > other.sequence;
    }
}
