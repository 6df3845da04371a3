package io.persimmonstack.node.sending;

import java.util.Optional;

/** How an attempt at a runner ended. Outcomes are logged by their string form. */
sealed interface Outcome {
    /** The complete answer was forwarded to the caller. */
    record Delivered() implements Outcome {}

    /**
     * The runner did not run the request and will not.
     *
     * @param cause why it did not run
     * @param detail explanation for the log
     */
    record NotRun(Cause cause, String detail) implements Outcome {}

    /**
     * The request may have run, but no complete answer arrived.
     *
     * @param detail explanation for the log
     * @param late whether the deadline had passed
     */
    record Unknown(String detail, boolean late) implements Outcome {}

    /**
     * The runner was silent, so the request continues at another one, which has begun to answer. The silent one may
     * have run it.
     *
     * @param successor runner of the next attempt, to be closed after it
     * @param detail explanation for the log
     */
    record Replaced(ReservedRunner successor, String detail) implements Outcome {
        @Override
        public String toString() {
            return "Replaced[successor=" + successor.runner().id() + ", detail=" + detail + "]";
        }
    }

    /**
     * The runner ran the request and answered with a server error.
     *
     * @param answer its answer, which is forwarded to the caller unless another attempt follows
     */
    record RanWithError(WholeAnswer answer) implements Outcome {}

    /** Why a request did not run. */
    enum Cause {
        /** No connection could be opened, or nothing of the request was sent. */
        UNREACHABLE,
        /** The runner is at capacity. */
        FULL,
        /** Another runner now has the address, or the model is not loaded. */
        MISDIRECTED
    }

    /** Returns why the request did not run, empty if it may have run. */
    default Optional<Cause> notRunCause() {
        return this instanceof NotRun notRun ? Optional.of(notRun.cause()) : Optional.empty();
    }
}
