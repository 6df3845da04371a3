package io.persimmonstack.runtime.tls;

import io.persimmonstack.runtime.settings.Setting;

/**
 * Server-side TLS of a port for callers or operators; clients present no certificate.
 *
 * @param keyStore path of a PKCS #12 file with the certificate chain and its private key
 * @param passwordFile path of a file that contains the password of the key store
 * @param reloadMs interval between checks for changed files; new connections use the changed ones
 */
public record TlsSettings(
        String keyStore,
        String passwordFile,

        @Setting(min = 10, max = 86_400_000, fallback = "5000")
        int reloadMs) {}
