package io.persimmonstack.coordinator.load;

/**
 * Demand for a model or adapter, the input of {@link LoadPlanner}.
 *
 * @param key model or adapter to be loaded
 * @param zone zone of the waiting requests
 * @param region region of the zone
 * @param replicasWanted number of replicas that should be loaded or loading
 * @param sizes accelerator memory that one replica takes
 */
public record Demand(LoadKey key, String zone, String region, int replicasWanted, LoadSizes sizes) {}
