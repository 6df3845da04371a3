package io.persimmonstack.runtime.tls;

import io.persimmonstack.runtime.settings.Setting;

/**
 * Mutual TLS between the system's own processes. Each side presents a certificate signed by one of the authorities.
 *
 * @param keyStore path of a PKCS #12 file with the certificate chain and its private key
 * @param passwordFile path of a file that contains the password of the key store
 * @param authorities path of a PEM file with the certificates of the authorities that sign peer certificates
 * @param reloadMs interval between checks for changed files; new connections use the changed ones
 */
public record PeerTlsSettings(
        String keyStore,
        String passwordFile,
        String authorities,

        @Setting(min = 10, max = 86_400_000, fallback = "5000")
        int reloadMs) {}
