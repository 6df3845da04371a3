package io.persimmonstack.standin;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events that the stand-ins log. */
public enum StandinEvent implements Event {
    /** {@code POST /faults} activated a fault. */
    FAULT_SET(5001, Level.INFO, "fault {} set"),
    /** {@code DELETE /faults} ended all faults of a stand-in. */
    FAULTS_CLEARED(5002, Level.INFO, "faults cleared"),
    /** A stand-in detected a broken guarantee, such as an idempotency key that ran twice. */
    VIOLATION(5003, Level.ERROR, "violation: {}"),
    /** {@code POST /hosts/<name>} changed the state of a host. */
    HOST_STATE(5004, Level.INFO, "host {} is {}");

    private final EventDefinition definition;

    StandinEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
