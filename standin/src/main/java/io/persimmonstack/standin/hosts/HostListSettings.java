package io.persimmonstack.standin.hosts;

import io.persimmonstack.runtime.settings.Setting;
import java.util.List;

/**
 * Settings of the host list. Engines and services of the same process are added to the list automatically.
 *
 * @param port TCP port, 0 for any free port
 * @param entryHosts hosts of the system under test itself, listed in addition to those of engines and services
 */
public record HostListSettings(
        @Setting(min = 0, max = 65_535) int port,
        @Setting(fallback = "[]") List<EntryHost> entryHosts) {
    /**
     * Host of the system under test itself.
     *
     * @param host name of the host
     * @param address IP address and port of its coordinator
     * @param zone availability zone
     * @param region region
     */
    public record EntryHost(
            String host, @Setting(form = "ip:port") String address, String zone, String region) {}
}
