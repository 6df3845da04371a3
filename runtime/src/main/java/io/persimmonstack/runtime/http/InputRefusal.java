package io.persimmonstack.runtime.http;

/** Why the input of a client is not accepted. The request was not run. */
public enum InputRefusal {
    /** The end of the body is ambiguous. */
    AMBIGUOUS_LENGTH(400, "ambiguous-length"),
    /** The headers are larger than allowed. */
    HEAD_TOO_LARGE(431, "head-too-large"),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413, "body-too-large"),
    /** The memory for received data is in use. */
    MEMORY(503, "receive-memory"),
    /** The body did not arrive fast enough while others needed the memory, or not at all. */
    BODY_TIMEOUT(408, "body-timeout"),
    /** The head did not arrive in time; the connection is closed without an answer. */
    HEAD_TIMEOUT(0, "head-timeout"),
    /** The listener has as many connections as it may; one without a request is closed. */
    CONNECTIONS(0, "connections");

    private final int status;
    private final String reason;

    InputRefusal(int status, String reason) {
        this.status = status;
        this.reason = reason;
    }

    /** Returns the status of the answer, 0 if the connection is closed without one. */
    public int status() {
        return status;
    }

    /** Returns the word for metrics, logs and the body of the answer. */
    public String reason() {
        return reason;
    }
}
