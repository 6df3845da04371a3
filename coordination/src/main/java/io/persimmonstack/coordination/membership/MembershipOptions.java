package io.persimmonstack.coordination.membership;

/**
 * Parameters of the membership protocol.
 *
 * @param indirectProbes maximum number of intermediaries that are asked to probe a member that did not answer
 * @param suspicionTimeoutMs time in milliseconds in which a suspected member may refute the suspicion
 * @param forgetAfterMs time in milliseconds after which a dead member is removed
 * @param maxEntriesPerMessage maximum number of member entries, and of announcements, in one message
 * @param crossRegionShare probability, 0 to 1, with which a member of another region is included in a probe pass or
 *     considered for synchronization
 */
public record MembershipOptions(
        int indirectProbes,
        long suspicionTimeoutMs,
        long forgetAfterMs,
        int maxEntriesPerMessage,
        double crossRegionShare) {
    private static final int DEFAULT_INDIRECT_PROBES = 3;
    private static final long DEFAULT_SUSPICION_TIMEOUT_MS = 5_000;
    private static final long DEFAULT_FORGET_AFTER_MS = 600_000;
    private static final int DEFAULT_MAX_ENTRIES_PER_MESSAGE = 12;
    private static final double DEFAULT_CROSS_REGION_SHARE = 0.1;

    /** Returns parameters for a fleet of up to a few hundred members and one round per second. */
    public static MembershipOptions defaults() {
        return new MembershipOptions(
                DEFAULT_INDIRECT_PROBES,
                DEFAULT_SUSPICION_TIMEOUT_MS,
                DEFAULT_FORGET_AFTER_MS,
                DEFAULT_MAX_ENTRIES_PER_MESSAGE,
                DEFAULT_CROSS_REGION_SHARE);
    }
}
