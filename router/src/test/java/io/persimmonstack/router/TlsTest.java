package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.backends.peer.PeerTrust;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.tls.PeerTlsSettings;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** TLS for callers and mutual TLS between routers and coordinators. */
class TlsTest {
    private static final int CLAIMS = 16;
    private static final char[] PASSWORD = "change-me".toCharArray();

    @TempDir
    private Path directory;

    @Test
    void renewedCertificateIsReloadedAndABrokenOneIsIgnored() throws Exception {
        Files.writeString(directory.resolve("password"), "change-me\n");
        installKeyStore("first.p12", 1);
        String tls = ",\"callers\":{\"tls\":{\"keyStore\":\"%s\",\"passwordFile\":\"%s\",\"reloadMs\":20}}"
                .formatted(directory.resolve("keys.p12"), directory.resolve("password"));
        try (RouterFixture fixture = RouterFixture.start(1, tls)) {
            assertEquals("CN=first", subject(fixture, "first.p12"));
            Files.writeString(directory.resolve("keys.p12"), "not a key store");
            Files.setLastModifiedTime(directory.resolve("keys.p12"), FileTime.fromMillis(2_000));
            assertEquals("CN=first", subject(fixture, "first.p12"));
            installKeyStore("second.p12", 3);
            RouterFixture.await(() -> "CN=second".equals(subjectOrNone(fixture)));
        }
    }

    @Test
    void coordinatorAndRouterConnectionsWorkWithMutualTls() throws Exception {
        Path keys = Path.of("../runtime/src/test/resources/tls");
        PeerTlsSettings peerTls = new PeerTlsSettings(
                keys.resolve("member.p12").toString(),
                keys.resolve("password").toString(),
                keys.resolve("fleet.pem").toString(),
                5_000);
        String settings = ",\"peerTls\":{\"keyStore\":\"%s\",\"passwordFile\":\"%s\",\"authorities\":\"%s\"}"
                .formatted(peerTls.keyStore(), peerTls.passwordFile(), peerTls.authorities());
        try (Closer closer = Closer.create();
                RouterFixture fixture = RouterFixture.start(2, settings, PeerTrust.of(Optional.of(peerTls), closer))) {
            FakeTarget bay = fixture.target("bay-1", FakeTarget.answer(200, "text/plain", "booked"));
            fixture.publish(fixture.fleet().service("bay", bay));
            for (int i = 0; i < CLAIMS; i++) {
                var answer =
                        fixture.send(fixture.serviceRequest(0, "bay/reserve", "{}", "Idempotency-Key", "key-" + i));
                assertEquals(200, answer.statusCode(), answer.body());
            }
            assertEquals(CLAIMS, fixture.metrics(0).counter("claims.Claimed").getCount());
            assertEquals(CLAIMS, bay.receivedRequests().size());
        }
    }

    private void installKeyStore(String name, long modifiedSeconds) throws Exception {
        try (InputStream in = TlsTest.class.getResourceAsStream("/" + name)) {
            Path changed = directory.resolve("changed");
            Files.copy(in, changed, StandardCopyOption.REPLACE_EXISTING);
            Files.setLastModifiedTime(changed, FileTime.fromMillis(modifiedSeconds * 1_000));
            Files.move(changed, directory.resolve("keys.p12"), StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private static String subjectOrNone(RouterFixture fixture) {
        try {
            return subject(fixture, "second.p12");
        } catch (Exception e) {
            return "";
        }
    }

    private static String subject(RouterFixture fixture, String trusted) throws Exception {
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream in = TlsTest.class.getResourceAsStream("/" + trusted)) {
            store.load(in, PASSWORD);
        }
        KeyStore anchors = KeyStore.getInstance("PKCS12");
        anchors.load(null, PASSWORD);
        anchors.setCertificateEntry("router", store.getCertificate("router"));
        TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(anchors);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        var address = fixture.router(0).callersAddress();
        try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(address.ip(), address.port())) {
            socket.startHandshake();
            X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return certificate.getSubjectX500Principal().getName();
        }
    }
}
