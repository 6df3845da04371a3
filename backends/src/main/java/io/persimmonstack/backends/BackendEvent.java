package io.persimmonstack.backends;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events of the platform adapters. */
public enum BackendEvent implements Event {
    /** A connection made no progress within its bound and was closed with the other idle ones to its target. */
    CONNECTION_SILENT(4001, Level.WARN, "connection closed, idle ones too: {}"),
    /** A watch ended and must be renewed. */
    WATCH_ENDED(4002, Level.INFO, "watch of '{}' ended: {}"),
    /** A call was refused because the node's budget towards the key-value service was spent. */
    KV_BUDGET_SPENT(4003, Level.DEBUG, "{} '{}' refused, the budget of calls is spent"),
    /** A process without a valid certificate tried to connect as one of the system's own. */
    PEER_REFUSED(4010, Level.WARN, "connection from {} refused, no valid certificate: {}");

    private final EventDefinition form;

    BackendEvent(int number, Level level, String message) {
        this.form = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return form;
    }
}
