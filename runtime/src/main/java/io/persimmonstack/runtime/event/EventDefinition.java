package io.persimmonstack.runtime.event;

import org.apache.logging.log4j.Level;

/**
 * What every event of a kind has in common.
 *
 * @param number number of the event, unique over all programs
 * @param level severity
 * @param message message with {@code {}} for each argument
 */
public record EventDefinition(int number, Level level, String message) {}
