package io.persimmonstack.node.sending;

import java.util.Optional;

/** How one attempt at a runner ended. */
sealed interface Outcome {
    /** The caller has the whole answer. */
    record Delivered() implements Outcome {}

    /**
     * The runner did not run the request and will not.
     *
     * @param cause what kept it from running
     * @param detail what was seen
     */
    record NotRun(Cause cause, String detail) implements Outcome {}

    /**
     * The request may have run and no whole answer came.
     *
     * @param detail what was seen
     * @param late whether the time was over
     */
    record Unknown(String detail, boolean late) implements Outcome {}

    /**
     * The runner ran the request and reports an error.
     *
     * @param answer its answer, which is given to the caller unless another attempt follows
     */
    record RanWithError(WholeAnswer answer) implements Outcome {}

    /** What kept a request from running. */
    enum Cause {
        /** No connection could be opened or nothing of the request was sent. */
        UNREACHABLE,
        /** The runner has no room. */
        FULL,
        /** Another runner has the address, or the model is not loaded. */
        MISDIRECTED
    }

    /** Returns what kept the request from running, empty where it may have run. */
    default Optional<Cause> notRunCause() {
        return this instanceof NotRun notRun ? Optional.of(notRun.cause()) : Optional.empty();
    }
}
