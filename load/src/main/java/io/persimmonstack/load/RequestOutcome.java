package io.persimmonstack.load;

/** How one request ended for its caller. */
sealed interface RequestOutcome {
    /**
     * The whole answer arrived.
     *
     * @param firstByteMs time from the intended start to the first part of the answer
     */
    record Complete(long firstByteMs) implements RequestOutcome {}

    /**
     * The request was refused.
     *
     * @param code code of the refusal
     * @param ran {@code no} or {@code unknown}
     */
    record Refused(String code, String ran) implements RequestOutcome {}

    /**
     * Part of an answer that is not the request's own, or not whole.
     *
     * @param detail what was seen
     */
    record Incorrect(String detail) implements RequestOutcome {}

    /**
     * The connection ended or stood still without an answer.
     *
     * @param detail what was seen
     */
    record Dropped(String detail) implements RequestOutcome {}

    /**
     * No router could be reached; the request was certainly not sent.
     *
     * @param detail what was seen
     */
    record NotSent(String detail) implements RequestOutcome {}
}
