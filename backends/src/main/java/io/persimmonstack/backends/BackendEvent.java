package io.persimmonstack.backends;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Log events of the clients of the platform's services. */
public enum BackendEvent implements Event {
    /** A connection timed out and was closed, together with all idle connections to the same target. */
    CONNECTION_SILENT(4001, Level.WARN, "connection timed out, closed with all idle connections to its target: {}"),
    /** A watch of the key-value service ended and has to be opened again. */
    WATCH_ENDED(4002, Level.INFO, "watch of '{}' ended: {}"),
    /** A call to the key-value service was refused because the node's call budget was exhausted. */
    KV_BUDGET_SPENT(4003, Level.DEBUG, "{} '{}' refused: the key-value call budget is exhausted"),
    /** An entry of the host list cannot be used; the others are. */
    HOST_UNREADABLE(4004, Level.WARN, "host list entry {} left out: {}"),
    /** A process without a valid certificate tried to connect to one of the system's own processes. */
    PEER_REFUSED(4010, Level.WARN, "connection from {} refused, no valid certificate: {}"),
    /** A listener refused input of clients outside the limits; at most one line a second. */
    INPUT_REFUSED(4011, Level.INFO, "{} inputs of clients outside the limits refused, the last one for {}");

    private final EventDefinition definition;

    BackendEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
