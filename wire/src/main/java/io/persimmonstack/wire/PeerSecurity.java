package io.persimmonstack.wire;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/** How the system's own processes make sure that the other end of a link is one of them. */
public sealed interface PeerSecurity {
    /** No check; the network is trusted. */
    record Plaintext() implements PeerSecurity {}

    /**
     * Each end shows a certificate that the other one's context trusts.
     *
     * @param context current keys and authorities, asked for each new connection
     * @param onRefused told of each connection refused here: the other end and why
     */
    record MutualTls(Supplier<SSLContext> context, BiConsumer<String, String> onRefused) implements PeerSecurity {}

    /** Returns the absence of any check. */
    static PeerSecurity plaintext() {
        return new Plaintext();
    }
}
