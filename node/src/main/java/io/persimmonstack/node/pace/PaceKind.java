package io.persimmonstack.node.pace;

/** Duration that tells how fast a runner is. */
public enum PaceKind {
    /** From sending a request to the first event of its stream. */
    FIRST_EVENT,
    /** Mean gap between events of a stream. */
    GAP,
    /** From sending a request to the end of its whole answer. */
    WHOLE
}
