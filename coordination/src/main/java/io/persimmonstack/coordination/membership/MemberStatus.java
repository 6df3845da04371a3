package io.persimmonstack.coordination.membership;

/** Status of a member as seen by the fleet. */
public enum MemberStatus {
    /** The member answers probes. */
    ALIVE(0),
    /** The member has announced that it is leaving; it still answers probes. */
    LEAVING(0),
    /** The member did not answer a probe; it may refute the suspicion until the suspicion timeout. */
    SUSPECT(1),
    /** The member did not refute the suspicion in time, or has announced that it stopped. */
    DEAD(2);

    private final int rank;

    MemberStatus(int rank) {
        this.rank = rank;
    }

    /** Returns the precedence among entries of the same incarnation and sequence; the higher rank wins. */
    int rank() {
        return rank;
    }

    /** Returns whether the member is probed and receives updates. */
    public boolean participates() {
        return this != DEAD;
    }
}
