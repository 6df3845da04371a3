package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/**
 * Numbered log event. Each program declares its events in one enum; {@code docs/EVENTS.md} lists all of them.
 *
 * <p>Number ranges: 1000 program framework, 2000 router, 3000 coordinator, 4000 platform adapters, 5000 stand-in and
 * load, 6000 node.
 */
public interface Event {
    /** Returns number, severity and message template. */
    EventDefinition definition();

    /** Returns the event number, unique across all programs. */
    default int number() {
        return definition().number();
    }

    /** Returns the severity that the event is logged with. */
    default Level level() {
        return definition().level();
    }

    /** Returns the message template with {@code {}} for each argument. */
    default String message() {
        return definition().message();
    }
}
