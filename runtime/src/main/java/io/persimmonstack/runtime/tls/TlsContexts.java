package io.persimmonstack.runtime.tls;

import io.persimmonstack.runtime.ProgramException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.X509ExtendedKeyManager;

/** Creates TLS contexts from settings. Keys and certificates are reloaded when their files change. */
public final class TlsContexts {
    private TlsContexts() {}

    /**
     * TLS of a server port that presents a certificate and requires none from clients.
     *
     * @param context context of the port; it uses reloaded keys for new connections
     * @param files source of the keys; closing it ends the checks for changes
     */
    public record PortTls(SSLContext context, ReloadedFiles<X509ExtendedKeyManager> files) implements AutoCloseable {
        @Override
        public void close() {
            files.close();
        }
    }

    /**
     * Reads the keys of a port and starts to check their files for changes.
     *
     * @param settings TLS settings of the port, empty for plain HTTP
     * @return the TLS of the port, empty for plain HTTP
     * @throws ProgramException if a file cannot be read or contains no valid keys or certificates
     */
    public static Optional<PortTls> ofPort(Optional<TlsSettings> settings) throws ProgramException {
        return settings.isPresent() ? Optional.of(ofPort(settings.get())) : Optional.empty();
    }

    private static PortTls ofPort(TlsSettings settings) throws ProgramException {
        ReloadedFiles<X509ExtendedKeyManager> files = ReloadedFiles.start(
                "keyStore",
                List.of(Path.of(settings.keyStore()), Path.of(settings.passwordFile())),
                settings.reloadMs(),
                () -> KeyFiles.keyManager(settings.keyStore(), settings.passwordFile()));
        try {
            KeyManager[] keys = {new DelegatingKeyManager(files)};
            return new PortTls(KeyFiles.context(keys, null), files);
        } catch (GeneralSecurityException e) {
            files.close();
            throw new ProgramException("keyStore " + settings.keyStore() + ": not usable: " + e.getMessage(), e);
        }
    }

    /**
     * Reads keys and authorities for links between the system's processes and starts to check their files for changes.
     * Each change creates a new context, so that sessions established under the previous authorities are not resumed.
     *
     * @param settings paths of the files and interval of the checks
     * @return supplier of the current context
     * @throws ProgramException if a file cannot be read or contains no valid keys or certificates
     */
    public static ReloadedFiles<SSLContext> ofPeers(PeerTlsSettings settings) throws ProgramException {
        return ReloadedFiles.start(
                "keyStore",
                List.of(
                        Path.of(settings.keyStore()),
                        Path.of(settings.passwordFile()),
                        Path.of(settings.authorities())),
                settings.reloadMs(),
                () -> KeyFiles.context(
                        new KeyManager[] {KeyFiles.keyManager(settings.keyStore(), settings.passwordFile())},
                        KeyFiles.trustManagers(settings.authorities())));
    }

    /**
     * Returns the context of a client that trusts the given authorities and presents no certificate. It is not
     * reloaded.
     *
     * @param authorities path of a PEM file
     * @return the client context
     * @throws ProgramException if the file cannot be read or contains no certificate
     */
    public static SSLContext trusting(String authorities) throws ProgramException {
        try {
            return KeyFiles.context(null, KeyFiles.trustManagers(authorities));
        } catch (java.io.IOException | GeneralSecurityException e) {
            throw new ProgramException("authorities " + authorities + ": not usable: " + e, e);
        }
    }
}
