package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/** Events of the frame. */
public enum FrameEvent implements Event {
    /** The program serves. */
    STARTED(1001, Level.INFO, "{} started, admin port {}"),
    /** The program was asked to stop and finishes its work. */
    STOPPING(1002, Level.INFO, "{} stops gracefully"),
    /** The program has ended. */
    STOPPED(1003, Level.INFO, "{} stopped after {} ms"),
    /** The graceful stop failed or was cut short. */
    STOP_FAILED(1004, Level.ERROR, "{} did not stop cleanly: {}"),
    /** A thread ended with an unexpected error. */
    UNCAUGHT(1005, Level.ERROR, "unexpected error on thread {}: {}"),
    /** Changed certificates, keys or tokens are in use. */
    FILES_RELOADED(1006, Level.INFO, "read again: {}"),
    /** Changed certificates, keys or tokens could not be read; the earlier ones stay in use. */
    RELOAD_FAILED(1007, Level.ERROR, "{} not usable, the earlier content stays in use: {}");

    private final EventDefinition definition;

    FrameEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
