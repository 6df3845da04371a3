package io.persimmonstack.node.placing;

/**
 * Estimate of when a model becomes available that requests wait for and that no runner holds.
 *
 * @param service service that serves the model
 * @param model name of the model
 * @param earliestMs shortest time until a runner can hold it, in milliseconds from now
 */
public record ModelArrival(String service, String model, long earliestMs) {}
