package io.persimmonstack.runtime.tls;

import io.persimmonstack.runtime.ProgramException;
import io.undertow.Undertow;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.X509ExtendedKeyManager;

/** TLS contexts whose certificates and keys are read again when their files change, without a restart. */
public final class TlsContexts {
    private TlsContexts() {}

    /**
     * Context of a port that shows a certificate and asks for none.
     *
     * @param context stays the same when the files change
     * @param files ends the watch of the files when closed
     */
    public record PortTls(SSLContext context, ReloadedFiles<X509ExtendedKeyManager> files) implements AutoCloseable {
        @Override
        public void close() {
            files.close();
        }
    }

    /**
     * Reads the keys of a port and starts to watch their files.
     *
     * @param settings where the files are, absent for plain HTTP
     * @return the keys, absent for plain HTTP
     * @throws ProgramException if the files cannot be used
     */
    public static Optional<PortTls> ofPort(Optional<TlsSettings> settings) throws ProgramException {
        return settings.isPresent() ? Optional.of(ofPort(settings.get())) : Optional.empty();
    }

    /**
     * Returns the builder of a server that listens on one port.
     *
     * @param ip IP number to listen on
     * @param port TCP port
     * @param keys keys of the port, absent for plain HTTP
     * @return the builder
     */
    public static Undertow.Builder listener(String ip, int port, Optional<PortTls> keys) {
        Undertow.Builder builder = Undertow.builder();
        return keys.isPresent()
                ? builder.addHttpsListener(port, ip, keys.get().context())
                : builder.addHttpListener(port, ip);
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
     * Reads keys and authorities for links between the system's processes and starts to watch their files. Each change
     * makes a new context, so that no session that began under the earlier authorities is resumed.
     *
     * @param settings where the files are
     * @return the current context
     * @throws ProgramException if the files cannot be used
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
     * Reads the authorities that sign the certificates of ports.
     *
     * @param authorities path of a PEM file
     * @return context of a client that trusts them alone
     * @throws ProgramException if the file cannot be used
     */
    public static SSLContext trusting(String authorities) throws ProgramException {
        try {
            return KeyFiles.context(null, KeyFiles.trustManagers(authorities));
        } catch (java.io.IOException | GeneralSecurityException e) {
            throw new ProgramException("authorities " + authorities + ": not usable: " + e, e);
        }
    }
}
