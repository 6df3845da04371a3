package io.persimmonstack.standin.service;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;

/**
 * Settings of the instances of one plain service.
 *
 * @param name name of the service; its instances are named {@code name-1}, {@code name-2} and so on
 * @param count number of instances
 * @param firstPort TCP port of the first instance, the others use the following ones; 0 for any free ports
 * @param latencyMs duration of one call, in milliseconds
 * @param zones availability zones, assigned round-robin
 * @param region region of all instances
 */
public record ServiceGroup(
        String name,
        @Setting(min = 1, fallback = "1") int count,
        @Setting(min = 0, max = 65_535) int firstPort,
        @Setting(min = 0, fallback = "5") int latencyMs,
        @Setting(min = 1) List<String> zones,
        String region) {
    /** Returns the name of the instance at the given zero-based index. */
    public String instanceName(int index) {
        return name + "-" + (index + 1);
    }

    /** Returns the port of the instance at the given zero-based index, 0 for any free port. */
    public int port(int index) {
        return firstPort == 0 ? 0 : firstPort + index;
    }

    /** Returns the availability zone of the instance at the given zero-based index. */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
