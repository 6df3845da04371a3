package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import io.persimmonstack.runtime.tls.TlsSettings;
import java.util.List;
import java.util.Optional;

/**
 * Settings of {@code persimmon-router}.
 *
 * @param node name of the host, the same as at its coordinator
 * @param zone availability zone of the host
 * @param region region of the host
 * @param callersAddress address that callers connect to
 * @param peerAddress address that other routers connect to
 * @param coordinators addresses of coordinators, the one on the same host first
 * @param kv settings of the key-value service
 * @param callers settings of the port that callers connect to
 * @param targets settings of the requests to targets
 * @param claims settings of the claim log
 * @param peerTls certificates shown to and required from other routers and coordinators; no TLS if absent
 * @param adminTls certificate of the admin port, plain HTTP if absent
 * @param drainMs longest time in milliseconds that a graceful stop waits for requests in progress
 */
public record RouterSettings(
        String node,
        String zone,
        String region,
        @Setting(form = "ip:port") String callersAddress,
        @Setting(form = "ip:port") String peerAddress,
        @Setting(form = "ip:port", min = 1, max = 64) List<String> coordinators,
        KvSettings kv,
        @Setting(fallback = "{}") CallersSettings callers,
        @Setting(fallback = "{}") TargetSettings targets,
        @Setting(fallback = "{}") ClaimSettings claims,
        Optional<PeerTlsSettings> peerTls,
        Optional<TlsSettings> adminTls,

        @Setting(min = 0, max = 3_600_000, fallback = "120000")
        int drainMs) {}
