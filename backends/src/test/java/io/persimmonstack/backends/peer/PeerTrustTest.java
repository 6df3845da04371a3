package io.persimmonstack.backends.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.ClaimResult;
import io.persimmonstack.wire.gen.RouterPeer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Links between our own processes: who is served, who is refused, and what a change of the files does. */
@Timeout(60)
class PeerTrustTest {
    private static final Path KEYS = Path.of("../runtime/src/test/resources/tls");
    private static final int TIMEOUT_MS = 5_000;

    @TempDir
    private Path folder;

    private final Closer closer = Closer.create();
    private final List<String> refused = new CopyOnWriteArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private PeerAddress address;

    @BeforeEach
    void serveMembers() throws Exception {
        put("member", "fleet", 1);
        PeerTlsSettings own = settings(folder.resolve("keys.p12"), folder.resolve("authorities.pem"));
        PeerSecurity.MutualTls trust = (PeerSecurity.MutualTls) PeerTrust.of(Optional.of(own), closer);
        PeerSecurity.MutualTls noted = new PeerSecurity.MutualTls(trust.context(), (peer, reason) -> {
            trust.onRefused().accept(peer, reason);
            refused.add(reason);
        });
        RouterPeer.Iface handler = new RouterPeer.Iface() {
            @Override
            public ClaimAnswer claim(ClaimRecord claim, int waitMs, Map<String, String> trace) {
                served.incrementAndGet();
                return new ClaimAnswer(ClaimResult.CLAIMED);
            }

            @Override
            public void settle(ClaimRecord outcome, Map<String, String> trace) {}
        };
        ThriftServer server = closer.add(
                ThriftServer.start(new PeerAddress("127.0.0.1", 0), new RouterPeer.Processor<>(handler), noted));
        address = new PeerAddress("127.0.0.1", server.port());
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private static PeerTlsSettings settings(Path keyStore, Path authorities) {
        return new PeerTlsSettings(
                keyStore.toString(), KEYS.resolve("password").toString(), authorities.toString(), 20);
    }

    private void put(String keys, String authorities, long second) throws Exception {
        replace(KEYS.resolve(authorities + ".pem"), "authorities.pem", second);
        replace(KEYS.resolve(keys + ".p12"), "keys.p12", second);
    }

    private void replace(Path source, String name, long second) throws Exception {
        Path changed = Files.copy(source, folder.resolve("changed"), StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(changed, FileTime.fromMillis(second * 1_000));
        Files.move(changed, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
    }

    private PeerSecurity trust(String keys, String authorities) throws Exception {
        PeerTlsSettings settings = settings(KEYS.resolve(keys + ".p12"), KEYS.resolve(authorities + ".pem"));
        return PeerTrust.of(Optional.of(settings), closer);
    }

    private ClaimResult call(PeerSecurity security) throws WireException {
        try (ThriftPeers<RouterPeer.Client> peers =
                ThriftPeers.of(new RouterPeer.Client.Factory(), TIMEOUT_MS, security)) {
            ClaimRecord claim = new ClaimRecord("key", "router-1", "print", 1);
            return peers.call(address, TIMEOUT_MS, client -> client.claim(claim, 10, Map.of()))
                    .getResult();
        }
    }

    private void awaitRefusal() {
        while (refused.isEmpty()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void memberIsServed() throws Exception {
        assertEquals(ClaimResult.CLAIMED, call(trust("member", "fleet")));
        assertEquals(List.of(), refused);
    }

    @Test
    void certificateOfAnotherAuthorityIsRefusedAndLogged() throws Exception {
        PeerSecurity stranger = trust("stranger", "fleet");
        assertThrows(WireException.class, () -> call(stranger));
        awaitRefusal();
        assertEquals(0, served.get());
    }

    @Test
    void peerWithoutTlsIsRefusedAndLogged() {
        assertThrows(WireException.class, () -> call(PeerSecurity.plaintext()));
        awaitRefusal();
        assertEquals(0, served.get());
    }

    @Test
    void peerWithoutACertificateIsRefusedAndLogged() throws Exception {
        SSLContext bare = TlsContexts.trusting(KEYS.resolve("fleet.pem").toString());
        PeerSecurity anonymous = new PeerSecurity.MutualTls(() -> bare, (peer, reason) -> {});
        assertThrows(WireException.class, () -> call(anonymous));
        awaitRefusal();
        assertEquals(0, served.get());
    }

    @Test
    void serverOfAnotherAuthorityGetsNoByteOfTheCall() throws Exception {
        PeerSecurity misled = trust("member", "other");
        WireException e = assertThrows(WireException.class, () -> call(misled));
        assertEquals(WireException.Progress.NOT_SENT, e.progress());
        assertEquals(0, served.get());
    }

    @Test
    void changedAuthoritiesAreInForceWithoutARestartAndBrokenOnesAreNot() throws Exception {
        PeerSecurity member = trust("member", "fleet");
        PeerSecurity stranger = trust("stranger", "other");
        Files.writeString(folder.resolve("authorities.pem"), "not a certificate");
        assertEquals(ClaimResult.CLAIMED, call(member));
        put("stranger", "other", 3);
        while (!accepted(stranger)) {
            Thread.onSpinWait();
        }
        assertFalse(accepted(member));
    }

    private boolean accepted(PeerSecurity security) {
        try {
            return call(security) == ClaimResult.CLAIMED;
        } catch (WireException e) {
            return false;
        }
    }

    @Test
    void unusableFilesStopTheStart() {
        PeerTlsSettings wrong = settings(KEYS.resolve("absent.p12"), KEYS.resolve("fleet.pem"));
        assertThrows(ProgramException.class, () -> PeerTrust.of(Optional.of(wrong), closer));
    }
}
