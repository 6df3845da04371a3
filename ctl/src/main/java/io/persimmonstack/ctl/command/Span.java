package io.persimmonstack.ctl.command;

/**
 * Span of a trace, as an admin port returns it.
 *
 * @param program name of the program that recorded the span
 * @param name name of the operation
 * @param span identifier of the span
 * @param parent identifier of the parent span, which need not be in the trace
 * @param startNanos start, nanoseconds since 1970-01-01 UTC
 * @param endNanos end, nanoseconds since 1970-01-01 UTC
 */
record Span(String program, String name, String span, String parent, long startNanos, long endNanos) {}
