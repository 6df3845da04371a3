package io.persimmonstack.standin;

import io.persimmonstack.runtime.settings.Setting;
import io.persimmonstack.standin.engine.EngineGroup;
import io.persimmonstack.standin.hosts.HostListSettings;
import io.persimmonstack.standin.service.ServiceGroup;
import io.persimmonstack.standin.weights.WeightStoreSettings;
import java.util.List;
import java.util.Optional;

/**
 * Settings of {@code persimmon-standin}: the stand-ins that one process runs.
 *
 * @param ip IP address that all ports are bound to
 * @param kv key-value service, absent to run none
 * @param hostList host list, absent to run none
 * @param weightStore weight store, absent to run none; required if there are engines
 * @param engines groups of engines
 * @param services groups of plain service instances
 */
public record StandinSettings(
        @Setting(form = "ip", fallback = "\"127.0.0.1\"") String ip,
        Optional<KvSettings> kv,
        Optional<HostListSettings> hostList,
        Optional<WeightStoreSettings> weightStore,
        @Setting(fallback = "[]") List<EngineGroup> engines,
        @Setting(fallback = "[]") List<ServiceGroup> services) {
    /**
     * Settings of the key-value service.
     *
     * @param port TCP port, 0 for any free port
     */
    public record KvSettings(@Setting(min = 0, max = 65_535) int port) {}
}
