package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/**
 * Constant parts of a log event.
 *
 * @param number event number, unique across all programs
 * @param level severity
 * @param message message with {@code {}} for each argument
 */
public record EventDefinition(int number, Level level, String message) {}
