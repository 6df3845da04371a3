package io.persimmonstack.load;

/** Outcome of one request as seen by its caller. */
sealed interface RequestOutcome {
    /**
     * The complete expected answer arrived.
     *
     * @param firstByteMs time from the first attempt to send until the first part of the answer, in milliseconds
     */
    record Complete(long firstByteMs) implements RequestOutcome {}

    /**
     * The router refused the request, or ended its stream with an error event.
     *
     * @param code code of the refusal, {@code none} if absent
     * @param ran whether the request ran: {@code no} or {@code unknown}, {@code none} if absent
     */
    record Refused(String code, String ran) implements RequestOutcome {}

    /**
     * The answer was incomplete, belonged to another request, or was an error without a problem document.
     *
     * @param detail the difference from the expected answer, for the log
     */
    record Incorrect(String detail) implements RequestOutcome {}

    /**
     * The request was sent, but the connection ended or stalled, or the answer could not be parsed.
     *
     * @param detail cause, for the log
     */
    record Dropped(String detail) implements RequestOutcome {}

    /**
     * No router could be reached, so that the request was certainly not sent.
     *
     * @param detail cause at the last router tried, for the log
     */
    record NotSent(String detail) implements RequestOutcome {}
}
