package io.persimmonstack.backends.http;

import java.util.Locale;

/** Why a connection was closed. */
enum CloseCause {
    /** The other side closed it while it had no work. */
    PEER,
    /** It had no work for too long, or enough others had none. */
    IDLE,
    /** The exchange on it failed. */
    FAILED,
    /** The exchange on it made no progress. */
    SILENT,
    /** An older connection to a target whose connection fell silent. */
    SUSPECT,
    /** The exchange on it was cancelled. */
    CANCELLED,
    /** It carried another request's answer. */
    MISMATCH,
    /** The exchange on it was its last by the words of the other side. */
    LAST,
    /** The connector was closed. */
    SHUTDOWN;

    String metricName() {
        return "http.connections.closed." + name().toLowerCase(Locale.ROOT);
    }

    static CloseCause of(HttpFailure.Kind kind) {
        return switch (kind) {
            case FIRST_BYTE_TIMEOUT, PROGRESS_TIMEOUT -> SILENT;
            case MISMATCH -> MISMATCH;
            case CANCELLED, TOO_LARGE -> CANCELLED;
            case CONNECT, LOST -> FAILED;
        };
    }
}
