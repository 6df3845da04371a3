package io.persimmonstack.standin;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events of the stand-ins. */
public enum StandinEvent implements Event {
    /** A fault was made active by command. */
    FAULT_SET(5001, Level.INFO, "fault {} set"),
    /** All faults of a stand-in were ended by command. */
    FAULTS_CLEARED(5002, Level.INFO, "faults cleared"),
    /** A promise was broken before the eyes of a stand-in. */
    VIOLATION(5003, Level.ERROR, "violation: {}"),
    /** A host changed its state by command. */
    HOST_STATE(5004, Level.INFO, "host {} is {}");

    private final EventDefinition form;

    StandinEvent(int number, Level level, String message) {
        this.form = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return form;
    }
}
