package io.persimmonstack.load;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Log events of persimmon-load. */
public enum LoadEvent implements Event {
    /** The router addresses could not be fetched from a router; the next router is asked. */
    ADDRESSES_FAILED(5501, Level.INFO, "{} gave no addresses: {}"),
    /** A request got neither a complete answer nor a refusal. */
    DROPPED(5502, Level.WARN, "request {} for {} at {} was dropped: {}"),
    /** An answer was incomplete or belonged to another request. */
    WRONG_ANSWER(5503, Level.WARN, "request {} for {} at {} got a wrong answer: {}"),
    /** The ledger of a stand-in could not be read. */
    LEDGER_FAILED(5504, Level.WARN, "ledger of {} cannot be read: {}");

    private final EventDefinition definition;

    LoadEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
