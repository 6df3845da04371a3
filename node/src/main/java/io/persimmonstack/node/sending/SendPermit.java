package io.persimmonstack.node.sending;

import java.util.Optional;

/** Whether a request may be sent to the runner that was chosen for it. */
sealed interface SendPermit {
    /** Returns the connection to send the request on, to be closed after use; empty if there is none. */
    default Optional<RunnerConnection> connection() {
        return Optional.empty();
    }

    /**
     * The request may be sent.
     *
     * @param connection connection to send it on, to be closed after use; empty if any will do
     */
    record Granted(Optional<RunnerConnection> connection) implements SendPermit {}

    /**
     * The request may not be sent.
     *
     * @param reason explanation for the log and the caller
     */
    record Withheld(String reason) implements SendPermit {}

    /**
     * The process that would get the request is not known. A stream that begins there cannot go on elsewhere.
     *
     * @param reason explanation for the log and the caller
     */
    record Unidentified(String reason) implements SendPermit {}

    /**
     * The request cannot be sent, since no connection could be opened.
     *
     * @param reason explanation for the log and the caller
     */
    record Unreachable(String reason) implements SendPermit {}
}
