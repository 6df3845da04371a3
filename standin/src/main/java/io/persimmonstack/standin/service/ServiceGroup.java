package io.persimmonstack.standin.service;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;

/**
 * Instances of one plain service.
 *
 * @param name name of the service; its instances add {@code -1} and so on
 * @param count how many instances
 * @param firstPort TCP port of the first, the others follow; 0 for any free ones
 * @param latencyMs time of one call, in milliseconds
 * @param zones availability zones, taken in turn
 * @param region region
 */
public record ServiceGroup(
        String name,
        @Setting(min = 1, fallback = "1") int count,
        @Setting(min = 0, max = 65_535) int firstPort,
        @Setting(min = 0, fallback = "5") int latencyMs,
        @Setting(min = 1) List<String> zones,
        String region) {
    /** Returns the name of the instance at the given index from 0. */
    public String instanceName(int index) {
        return name + "-" + (index + 1);
    }

    /** Returns the port of the instance at the given index from 0. */
    public int port(int index) {
        return firstPort == 0 ? 0 : firstPort + index;
    }

    /** Returns the zone of the instance at the given index from 0. */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
