package io.persimmonstack.node.placing;

/**
 * Model that requests wait for and that no runner holds.
 *
 * @param service service that serves the model
 * @param model name of the model
 * @param earliestMs time until a runner can hold it at the earliest, in milliseconds
 */
public record ModelArrival(String service, String model, long earliestMs) {}
