package io.persimmonstack.coordination.membership;

/**
 * Parameters of the membership protocol.
 *
 * @param indirectProbes members asked to probe one that did not answer
 * @param suspicionTimeoutMs time in which a suspected member may refute
 * @param forgetAfterMs time after which a dead member is forgotten
 * @param maxEntriesPerMessage most entries carried by one message
 * @param crossRegionShare share of rounds that go to other regions, 0 to 1
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

    /** Returns parameters that fit a fleet of up to some hundred members and rounds of one second. */
    public static MembershipOptions defaults() {
        return new MembershipOptions(
                DEFAULT_INDIRECT_PROBES,
                DEFAULT_SUSPICION_TIMEOUT_MS,
                DEFAULT_FORGET_AFTER_MS,
                DEFAULT_MAX_ENTRIES_PER_MESSAGE,
                DEFAULT_CROSS_REGION_SHARE);
    }
}
