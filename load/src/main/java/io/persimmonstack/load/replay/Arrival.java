package io.persimmonstack.load.replay;

/**
 * Request of a trace.
 *
 * @param atMs time of arrival, milliseconds from the start of the trace
 * @param modelIndex index of the model
 * @param durationMs time that the request runs once the model is loaded
 */
record Arrival(long atMs, int modelIndex, long durationMs) {}
