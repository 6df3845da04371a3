package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes numbered events through Log4j 2. The event number precedes the message as {@code PS1001}.
 *
 * <pre>{@code
 * private static final EventLog LOG = EventLog.of(Dispatcher.class);
 * LOG.write(RouterEvent.TARGET_FAILED, target, cause);
 * }</pre>
 */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Returns a log whose logger is named after the given class. */
    public static EventLog of(Class<?> type) {
        return new EventLog(LogManager.getLogger(type));
    }

    /**
     * Writes an event if its severity is enabled. Long values are shortened, see {@link LoggedValues}.
     *
     * @param event event to write
     * @param arguments values for the placeholders; an additional trailing throwable is logged with its stack trace
     */
    public void write(Event event, Object... arguments) {
        if (logger.isEnabled(event.level())) {
            logger.log(event.level(), "PS" + event.number() + " " + event.message(), LoggedValues.shortened(arguments));
        }
    }
}
