package io.persimmonstack.coordination.cap;

/**
 * Process that holds a slot, and its assignment. A process that lost a slot and got it again has another assignment.
 *
 * @param node name of the node
 * @param startedMs start of its process, by its own clock
 * @param assignedTerm term of the leader that assigned the slot
 * @param assignedNumber number of the table in which that leader did so first
 */
public record SlotHolder(String node, long startedMs, long assignedTerm, long assignedNumber) {
    /** Returns whether a process holds the slot. */
    public boolean isProcess(String otherNode, long otherStartedMs) {
        return node.equals(otherNode) && startedMs == otherStartedMs;
    }
}
