package io.persimmonstack.coordination.membership;

/**
 * Availability zone and region in which a process runs.
 *
 * @param zone availability zone
 * @param region region that the zone belongs to
 */
public record Locality(String zone, String region) {}
