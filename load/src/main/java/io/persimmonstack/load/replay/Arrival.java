package io.persimmonstack.load.replay;

/**
 * Arrival of one request in a trace.
 *
 * @param atMs time of arrival, in milliseconds from the start of the trace
 * @param modelIndex index of the requested model in the trace
 * @param durationMs time that the request runs once the model is loaded, in milliseconds
 */
record Arrival(long atMs, int modelIndex, long durationMs) {}
