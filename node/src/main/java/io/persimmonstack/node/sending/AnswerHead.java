package io.persimmonstack.node.sending;

/** Classification of a runner's answer by its status and headers. */
public enum AnswerHead {
    /** The runner is at capacity; it did not run the request. */
    FULL,
    /** Another runner now has the address, or the model is not loaded; the request did not run. */
    MISDIRECTED,
    /** The runner ran the request; this is its answer, possibly an error. */
    RAN,
    /** The answer lacks the mark of a runner or the name of the request, so whether the request ran is unknown. */
    FORGED
}
