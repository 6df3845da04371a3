package io.persimmonstack.ctl;

import io.persimmonstack.runtime.settings.Setting;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import java.util.List;
import java.util.Optional;

/**
 * Settings of persimmonctl.
 *
 * @param kv address of the key-value store that stores the configuration
 * @param coordinators addresses of coordinators, called in this order until one answers
 * @param admins admin addresses of routers and coordinators, for traces and refused requests
 * @param peerTls key store and authorities for mutual TLS with the coordinators; plain connections if absent
 * @param adminAuthorities PEM file with the authorities of the admin ports' certificates; plain HTTP if absent
 * @param author author recorded with each committed configuration
 */
public record CtlSettings(
        @Setting(form = "ip:port") String kv,
        @Setting(form = "ip:port", min = 1) List<String> coordinators,
        @Setting(form = "ip:port", fallback = "[]") List<String> admins,
        Optional<PeerTlsSettings> peerTls,
        Optional<String> adminAuthorities,
        @Setting(fallback = "\"operator\"") String author) {}
