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

/** Turns settings into the check that links between the system's processes make. */
public final class PeerTrust {
    private static final EventLog LOG = EventLog.of(PeerTrust.class);

    private PeerTrust() {}

    /**
     * Returns the check of links, and logs each peer that is refused.
     *
     * @param settings keys and authorities, absent where the network is trusted
     * @param closer ends the watch of the files
     * @return the check
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
