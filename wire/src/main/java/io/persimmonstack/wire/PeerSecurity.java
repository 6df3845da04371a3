package io.persimmonstack.wire;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/** How the system's own processes authenticate each other on a connection. */
public sealed interface PeerSecurity {
    /** Unencrypted connections without authentication, for a trusted network. */
    record Plaintext() implements PeerSecurity {}

    /**
     * Mutual TLS: each end presents a certificate that the other end trusts.
     *
     * @param context supplies the current keys and authorities; queried for each new connection
     * @param onRefused called with remote address and reason for each connection that this end refuses
     */
    record MutualTls(Supplier<SSLContext> context, BiConsumer<String, String> onRefused) implements PeerSecurity {}

    /** Returns the security of unencrypted connections. */
    static PeerSecurity plaintext() {
        return new Plaintext();
    }
}
