package io.persimmonstack.coordination.crash;

/** Whether a request may be sent, by the parts of its prompt. */
public sealed interface Admission {
    /**
     * The request may be sent once.
     *
     * @param permit learns how that goes, to be closed afterwards
     */
    record Admitted(PartPermit permit) implements Admission {}

    /**
     * The request may not be sent.
     *
     * @param part part that ends processes
     */
    record Blocked(BlockedPart part) implements Admission {}

    /** Other requests with suspected parts are tried; the turn of this one did not come. */
    record Busy() implements Admission {}
}
