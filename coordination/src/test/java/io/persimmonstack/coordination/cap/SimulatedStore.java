package io.persimmonstack.coordination.cap;

import java.util.OptionalLong;

/** Store of a simulated fleet: the leader's key under a lease and the table of slots. It may come back from a copy. */
final class SimulatedStore {
    private static final long ERA = 1L << 40;
    private static final long LEASE_MS = 2_500;
    private long revision = 1;
    private long tableRevision;
    private SlotTable table = SlotTable.NONE;
    private long copyTableRevision;
    private SlotTable copyTable = SlotTable.NONE;
    private long leaseEndMs;
    private int leader = -1;
    private long term;
    private boolean available = true;

    boolean available() {
        return available;
    }

    void setAvailable(boolean value) {
        available = value;
    }

    /** Lets a node stand for election; returns its term if it is elected. */
    OptionalLong elect(int node, long nowMs) {
        boolean free = leader < 0 || nowMs >= leaseEndMs;
        if (!free && leader != node) {
            return OptionalLong.empty();
        }
        leader = node;
        term = ++revision;
        leaseEndMs = nowMs + LEASE_MS;
        return OptionalLong.of(term);
    }

    /** Renews the lease of a leader; returns whether it still leads. */
    boolean renew(int node, long ownTerm, long nowMs) {
        boolean leads = leader == node && term == ownTerm && nowMs < leaseEndMs;
        leaseEndMs = leads ? nowMs + LEASE_MS : leaseEndMs;
        return leads;
    }

    /** Returns the leader that is listed, -1 if none is. */
    int leader(long nowMs) {
        return nowMs < leaseEndMs ? leader : -1;
    }

    SlotTable table() {
        return table;
    }

    long tableRevision() {
        return tableRevision;
    }

    /** Writes the table if it was last written at a revision. */
    boolean write(SlotTable newTable, long expectedRevision) {
        if (tableRevision != expectedRevision) {
            return false;
        }
        table = newTable;
        tableRevision = ++revision;
        return true;
    }

    void copy() {
        copyTable = table;
        copyTableRevision = tableRevision;
    }

    /** Comes back from the last copy, in the next era; the leader has no lease there. */
    void restore() {
        revision = (revision / ERA + 1) * ERA;
        table = copyTable;
        tableRevision = copyTableRevision;
        // Nodes stand for election only when the lease of before has ended.
    }

    static boolean doubtful(long term, SlotTable stored) {
        return term / ERA != stored.term() / ERA;
    }
}
