package io.persimmonstack.node.sending;

/** What the head of a runner's answer means. */
public enum AnswerHead {
    /** The runner has no room; it did not run the request. */
    FULL,
    /** Another runner has the address, or the runner lacks the model; it did not run the request. */
    MISDIRECTED,
    /** The runner worked on the request and answers it. */
    RAN,
    /** The answer bears no mark of a runner; whether the request ran is unknown. */
    FORGED
}
