package io.persimmonstack.runtime.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.runtime.tls.TlsSettings;
import io.persimmonstack.runtime.trace.Tracing;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.cert.X509Certificate;
import java.util.Optional;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class AdminServerTest {
    /** The authorities in fleet.pem make member.p12 trusted, those in other.pem make stranger.p12 trusted. */
    private static final Path TLS_FILES = Path.of("src/test/resources/tls");

    @TempDir
    private Path keyDirectory;

    private final Closer closer = Closer.create();

    @Test
    void servesTheNewCertificateAfterTheKeyStoreFileChanges() throws Exception {
        replaceKeyStore("member.p12", 1);
        try (closer) {
            int port = startServer();
            assertEquals("CN=member", subject(port, "fleet.pem"));
            assertThrows(SSLException.class, () -> subject(port, "other.pem"));
            replaceKeyStore("stranger.p12", 2);
            while (!"CN=stranger".equals(subjectIfTrusted(port))) {
                Thread.onSpinWait();
            }
        }
    }

    private int startServer() throws Exception {
        TlsSettings tls = new TlsSettings(
                keyDirectory.resolve("keys.p12").toString(),
                TLS_FILES.resolve("password").toString(),
                20);
        ProgramContext context =
                new ProgramContext(new MetricRegistry(), Readiness.starting(), closer.add(Tracing.of("test")), closer);
        return closer.add(AdminServer.start("127.0.0.1", 0, Optional.of(tls), context))
                .port();
    }

    /** Replaces the key store atomically and sets its modification time, which triggers the reload. */
    private void replaceKeyStore(String source, long modifiedSecond) throws Exception {
        Path copy = Files.copy(
                TLS_FILES.resolve(source), keyDirectory.resolve("changed"), StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(copy, FileTime.fromMillis(modifiedSecond * 1_000));
        Files.move(copy, keyDirectory.resolve("keys.p12"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the subject of the served certificate, or an empty text while other.pem does not make it trusted. */
    private static String subjectIfTrusted(int port) throws Exception {
        try {
            return subject(port, "other.pem");
        } catch (SSLException e) {
            return "";
        }
    }

    private static String subject(int port, String authorities) throws Exception {
        var factory =
                TlsContexts.trusting(TLS_FILES.resolve(authorities).toString()).getSocketFactory();
        try (SSLSocket socket = (SSLSocket) factory.createSocket("127.0.0.1", port)) {
            socket.startHandshake();
            X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return certificate.getSubjectX500Principal().getName();
        }
    }
}
