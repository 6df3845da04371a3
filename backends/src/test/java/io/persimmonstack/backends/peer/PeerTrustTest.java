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
import io.persimmonstack.wire.gen.CrashReportRecord;
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

/**
 * Mutual TLS between the system's own processes: which peers are accepted, which are refused and logged, and how
 * changed files take effect.
 */
@Timeout(60)
class PeerTrustTest {
    private static final Path KEYS = Path.of("../runtime/src/test/resources/tls");
    private static final int TIMEOUT_MS = 5_000;

    @TempDir
    private Path directory;

    private final Closer closer = Closer.create();
    private final List<String> refusals = new CopyOnWriteArrayList<>();
    private final AtomicInteger servedCalls = new AtomicInteger();
    private PeerAddress address;

    @BeforeEach
    void startServer() throws Exception {
        installFiles("member", "fleet", 1);
        PeerTlsSettings serverSettings = settings(directory.resolve("keys.p12"), directory.resolve("authorities.pem"));
        PeerSecurity.MutualTls mutualTls = (PeerSecurity.MutualTls) PeerTrust.of(Optional.of(serverSettings), closer);
        PeerSecurity.MutualTls recording = new PeerSecurity.MutualTls(mutualTls.context(), (peer, reason) -> {
            mutualTls.onRefused().accept(peer, reason);
            refusals.add(reason);
        });
        RouterPeer.Iface handler = new RouterPeer.Iface() {
            @Override
            public ClaimAnswer claim(ClaimRecord claim, int waitMs, Map<String, String> trace) {
                servedCalls.incrementAndGet();
                return new ClaimAnswer(ClaimResult.CLAIMED);
            }

            @Override
            public void settle(ClaimRecord outcome, Map<String, String> trace) {}

            @Override
            public void keepCrashReports(List<CrashReportRecord> reports) {}
        };
        ThriftServer server = closer.add(
                ThriftServer.start(new PeerAddress("127.0.0.1", 0), new RouterPeer.Processor<>(handler), recording));
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

    /**
     * Replaces the server's files. Each replacement needs a new modification time, by which the server notices the
     * change.
     */
    private void installFiles(String keys, String authorities, long modifiedSecond) throws Exception {
        replaceFile(KEYS.resolve(authorities + ".pem"), "authorities.pem", modifiedSecond);
        replaceFile(KEYS.resolve(keys + ".p12"), "keys.p12", modifiedSecond);
    }

    private void replaceFile(Path source, String name, long modifiedSecond) throws Exception {
        Path changed = Files.copy(source, directory.resolve("changed"), StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(changed, FileTime.fromMillis(modifiedSecond * 1_000));
        Files.move(changed, directory.resolve(name), StandardCopyOption.REPLACE_EXISTING);
    }

    private PeerSecurity clientSecurity(String keys, String authorities) throws Exception {
        PeerTlsSettings settings = settings(KEYS.resolve(keys + ".p12"), KEYS.resolve(authorities + ".pem"));
        return PeerTrust.of(Optional.of(settings), closer);
    }

    private ClaimResult call(PeerSecurity security) throws WireException {
        try (ThriftPeers<RouterPeer.Client> client =
                ThriftPeers.of(new RouterPeer.Client.Factory(), TIMEOUT_MS, security)) {
            ClaimRecord claim = new ClaimRecord("key", "router-1", "print", 1);
            return client.call(address, TIMEOUT_MS, thrift -> thrift.claim(claim, 10, Map.of()))
                    .getResult();
        }
    }

    private void awaitRefusal() {
        while (refusals.isEmpty()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void memberCertificateIsAccepted() throws Exception {
        assertEquals(ClaimResult.CLAIMED, call(clientSecurity("member", "fleet")));
        assertEquals(List.of(), refusals);
    }

    @Test
    void certificateOfAnotherAuthorityIsRefusedAndLogged() throws Exception {
        PeerSecurity stranger = clientSecurity("stranger", "fleet");
        assertThrows(WireException.class, () -> call(stranger));
        awaitRefusal();
        assertEquals(0, servedCalls.get());
    }

    @Test
    void peerWithoutTlsIsRefusedAndLogged() {
        assertThrows(WireException.class, () -> call(PeerSecurity.plaintext()));
        awaitRefusal();
        assertEquals(0, servedCalls.get());
    }

    @Test
    void peerWithoutCertificateIsRefusedAndLogged() throws Exception {
        SSLContext contextWithoutKey =
                TlsContexts.trusting(KEYS.resolve("fleet.pem").toString());
        PeerSecurity anonymous = new PeerSecurity.MutualTls(() -> contextWithoutKey, (peer, reason) -> {});
        assertThrows(WireException.class, () -> call(anonymous));
        awaitRefusal();
        assertEquals(0, servedCalls.get());
    }

    @Test
    void requestIsNotSentToServerOfAnotherAuthority() throws Exception {
        PeerSecurity clientTrustingOther = clientSecurity("member", "other");
        WireException failure = assertThrows(WireException.class, () -> call(clientTrustingOther));
        assertEquals(WireException.Progress.NOT_SENT, failure.progress());
        assertEquals(0, servedCalls.get());
    }

    @Test
    void reloadsChangedAuthoritiesAndIgnoresInvalidOnes() throws Exception {
        PeerSecurity member = clientSecurity("member", "fleet");
        PeerSecurity stranger = clientSecurity("stranger", "other");
        Files.writeString(directory.resolve("authorities.pem"), "not a certificate");
        assertEquals(ClaimResult.CLAIMED, call(member));
        installFiles("stranger", "other", 3);
        while (!isAccepted(stranger)) {
            Thread.onSpinWait();
        }
        assertFalse(isAccepted(member));
    }

    private boolean isAccepted(PeerSecurity security) {
        try {
            return call(security) == ClaimResult.CLAIMED;
        } catch (WireException failure) {
            return false;
        }
    }

    @Test
    void unusableFilesFailAtStartup() {
        PeerTlsSettings missingKeyStore = settings(KEYS.resolve("absent.p12"), KEYS.resolve("fleet.pem"));
        assertThrows(ProgramException.class, () -> PeerTrust.of(Optional.of(missingKeyStore), closer));
    }
}
