package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/** Log events of the program framework, numbers 1000 to 1999. */
public enum FrameEvent implements Event {
    /** The program accepts work. */
    STARTED(1001, Level.INFO, "{} started, admin port {}"),
    /** The program received SIGTERM and is finishing accepted work. */
    STOPPING(1002, Level.INFO, "{} is stopping gracefully"),
    /** The graceful stop has finished. */
    STOPPED(1003, Level.INFO, "{} stopped after {} ms"),
    /** The graceful stop was interrupted. */
    STOP_FAILED(1004, Level.ERROR, "{} did not stop cleanly: {}"),
    /** A thread ended with an uncaught exception. */
    UNCAUGHT(1005, Level.ERROR, "unexpected error on thread {}: {}"),
    /** Changed certificates, keys or tokens were reloaded and are in use. */
    FILES_RELOADED(1006, Level.INFO, "reloaded {}"),
    /** Changed certificates, keys or tokens could not be reloaded; the previous ones stay in use. */
    RELOAD_FAILED(1007, Level.ERROR, "cannot reload {}, the previous content stays in use: {}");

    private final EventDefinition definition;

    FrameEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
