package io.persimmonstack.backends.http;

import java.util.Locale;

/** Why a connection was closed. The name of the constant is part of a metric name. */
enum CloseCause {
    /** The peer closed the connection while it was idle. */
    PEER,
    /** The connection was idle for too long, or too many connections to its target were idle. */
    IDLE,
    /** The exchange on the connection failed. */
    FAILED,
    /** The exchange on the connection timed out. */
    SILENT,
    /** Another connection to the same target timed out while this one was idle. */
    SUSPECT,
    /** The exchange on the connection was cancelled or its response was too large. */
    CANCELLED,
    /** The connection delivered the response to another request. */
    MISMATCH,
    /** The connection could not be reused after the exchange, usually because the peer announced that it closes it. */
    LAST,
    /** The connector was closed. */
    SHUTDOWN;

    /** Returns the name of the counter of connections closed for this reason. */
    String metricName() {
        return "http.connections.closed." + name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason for closing a connection whose exchange failed in the given way. */
    static CloseCause of(HttpFailure.Kind kind) {
        return switch (kind) {
            case FIRST_BYTE_TIMEOUT, PROGRESS_TIMEOUT -> SILENT;
            case MISMATCH -> MISMATCH;
            case CANCELLED, TOO_LARGE -> CANCELLED;
            case CONNECT, LOST -> FAILED;
        };
    }
}
