package io.persimmonstack.coordinator;

import io.persimmonstack.runtime.settings.Setting;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import io.persimmonstack.runtime.tls.TlsSettings;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a coordinator.
 *
 * @param node name of the node, the same as its entry in the host list
 * @param zone availability zone of the node
 * @param region region that the zone belongs to
 * @param address address on which the coordinator listens and other processes reach it; port 0 picks a free port
 * @param seeds addresses of coordinators to join through, in addition to the entry hosts of the host list
 * @param kv connection to the key-value store
 * @param hostList address of the host list
 * @param weightStore address of the weight store
 * @param probeIntervalMs interval between probes of members
 * @param probeTimeoutMs timeout of a probe
 * @param suspicionTimeoutMs time that a suspected member has to refute the suspicion before it is declared dead
 * @param synchronizeIntervalMs interval between anti-entropy exchanges of the whole state with another member
 * @param hostListIntervalMs interval between reads of the host list
 * @param configurationIntervalMs interval between reads of the configuration's head, which also cover nodes that do
 *     not watch it
 * @param watchersPerZone number of nodes in each zone that watch the configuration
 * @param ownershipIntervalMs interval between checks of which runners the node should own
 * @param inspectIntervalMs interval between reads of the engine state of an owned runner while it loads nothing
 * @param fixedKeepAliveMs time after which a model without requests is unloaded; 0 derives it from demand and costs
 * @param minKeepAliveMs minimum time that a model stays loaded without requests
 * @param loadAheadIntervalMs interval between decisions on which models to load ahead of demand
 * @param demandIntervalMs interval between transfers of demand statistics to other nodes
 * @param stopTimeoutMs maximum time that a graceful stop waits for the hand-over of owned runners
 * @param peerTls mutual TLS with routers and other coordinators; plain TCP if absent
 * @param adminTls certificate of the admin port; plain HTTP if absent
 * @param orderToken bearer token sent to engines with each order, for engines that check it; none is sent if absent
 */
public record CoordinatorSettings(
        String node,
        String zone,
        String region,
        @Setting(form = "ip:port") String address,
        @Setting(fallback = "[]", form = "ip:port") List<String> seeds,
        KvSettings kv,
        @Setting(form = "ip:port") String hostList,
        @Setting(form = "ip:port") String weightStore,
        @Setting(fallback = "1000", min = 50, max = 60_000) int probeIntervalMs,
        @Setting(fallback = "500", min = 10, max = 60_000) int probeTimeoutMs,

        @Setting(fallback = "4000", min = 100, max = 600_000)
        int suspicionTimeoutMs,

        @Setting(fallback = "5000", min = 100, max = 600_000)
        int synchronizeIntervalMs,

        @Setting(fallback = "1000", min = 100, max = 60_000) int hostListIntervalMs,

        @Setting(fallback = "4000", min = 100, max = 600_000)
        int configurationIntervalMs,

        @Setting(fallback = "2", min = 0, max = 100) int watchersPerZone,
        @Setting(fallback = "1000", min = 50, max = 60_000) int ownershipIntervalMs,
        @Setting(fallback = "2000", min = 50, max = 60_000) int inspectIntervalMs,

        @Setting(fallback = "0", min = 0, max = 86_400_000) int fixedKeepAliveMs,

        @Setting(fallback = "10000", min = 0, max = 86_400_000)
        int minKeepAliveMs,

        @Setting(fallback = "5000", min = 50, max = 600_000) int loadAheadIntervalMs,

        @Setting(fallback = "10000", min = 50, max = 600_000)
        int demandIntervalMs,

        @Setting(fallback = "10000", min = 0, max = 600_000) int stopTimeoutMs,
        Optional<PeerTlsSettings> peerTls,
        Optional<TlsSettings> adminTls,
        Optional<OrderTokenSettings> orderToken) {

    /**
     * Connection to the key-value store, and limits on the rate of calls to it.
     *
     * @param endpoint address of the store's HTTP gateway
     * @param timeoutMs timeout of a call
     * @param readsPerSecond maximum reads per second of this node
     * @param writesPerSecond maximum writes per second of this node
     * @param fleetReadsPerSecond maximum reads per second of all coordinators together
     * @param fleetWritesPerSecond maximum writes per second of all coordinators together
     */
    public record KvSettings(
            @Setting(form = "ip:port") String endpoint,

            @Setting(fallback = "1000", min = 10, max = 60_000)
            int timeoutMs,

            @Setting(fallback = "20", min = 1, max = 10_000) int readsPerSecond,
            @Setting(fallback = "10", min = 1, max = 10_000) int writesPerSecond,

            @Setting(fallback = "1500", min = 1, max = 1_000_000)
            int fleetReadsPerSecond,

            @Setting(fallback = "300", min = 1, max = 1_000_000)
            int fleetWritesPerSecond) {}

    /**
     * Bearer token that authorizes orders to engines.
     *
     * @param file path of the file that contains the token
     * @param reloadMs interval between checks of the file; a changed token is used from the next order on
     */
    public record OrderTokenSettings(
            String file,

            @Setting(fallback = "5000", min = 10, max = 86_400_000)
            int reloadMs) {}
}
