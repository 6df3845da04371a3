package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/**
 * Numbered log event. Each program keeps its events in one enum; {@code docs/EVENTS.md} lists them all.
 *
 * <p>Numbers: 1000 frame, 2000 router, 3000 coordinator, 4000 platform adapters, 5000 stand-in and load,
 * 6000 node.
 */
public interface Event {
    /** Returns number, severity and message. */
    EventDefinition definition();

    /** Returns the number of the event, unique over all programs. */
    default int number() {
        return definition().number();
    }

    /** Returns the severity. */
    default Level level() {
        return definition().level();
    }

    /** Returns the message with {@code {}} for each argument. */
    default String message() {
        return definition().message();
    }
}
