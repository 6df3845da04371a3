package io.persimmonstack.backends.peer;

import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import io.persimmonstack.runtime.tls.ReloadedFiles;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.wire.PeerSecurity;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/** Creates the {@link PeerSecurity} of connections between the system's own processes from settings. */
public final class PeerTrust {
    private static final EventLog LOG = EventLog.of(PeerTrust.class);

    private PeerTrust() {}

    /**
     * Returns the authentication that the settings ask for: mutual TLS that logs each refused peer, or none.
     *
     * @param settings key store and certificate authorities, empty if the network is trusted
     * @param closer receives the watcher that reloads changed files, to be closed with the program
     * @return the authentication of connections
     * @throws ProgramException if the files cannot be used
     */
    public static PeerSecurity of(Optional<PeerTlsSettings> settings, Closer closer) throws ProgramException {
        if (settings.isEmpty()) {
            return PeerSecurity.plaintext();
        }
        ReloadedFiles<SSLContext> context = closer.add(TlsContexts.ofPeers(settings.get()));
        return new PeerSecurity.MutualTls(
                context, (peer, reason) -> LOG.write(BackendEvent.PEER_REFUSED, peer, reason));
    }
}
