package io.persimmonstack.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.admin.AdminServer;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.tls.TlsSettings;
import io.persimmonstack.runtime.trace.Tracing;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reads an admin port with TLS. */
@Timeout(60)
class AdminClientTest {
    /** Element of a page. */
    record Element(String name) {}

    private static final Path TLS_DIRECTORY = Path.of("../runtime/src/test/resources/tls");
    private final Closer closer = Closer.create();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private String address;

    @BeforeEach
    void start() throws Exception {
        TlsSettings tls = new TlsSettings(
                TLS_DIRECTORY.resolve("member.p12").toString(),
                TLS_DIRECTORY.resolve("password").toString(),
                5_000);
        ProgramContext context =
                new ProgramContext(new MetricRegistry(), Readiness.starting(), closer.add(Tracing.of("test")), closer);
        AdminServer server = closer.add(AdminServer.start("127.0.0.1", 0, Optional.of(tls), context));
        address = "127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    private String readReportedErrors(Optional<String> authorities) throws Exception {
        CtlSettings settings = new CtlSettings(
                "127.0.0.1:1", List.of(address), List.of(address), Optional.empty(), authorities, "test");
        AdminClient client = AdminClient.of(settings, new PrintStream(err, true));
        assertEquals(List.of(), client.read("/traces/" + "0".repeat(32), Element.class));
        return err.toString();
    }

    @Test
    void portWithATrustedCertificateIsRead() throws Exception {
        assertEquals(
                "",
                readReportedErrors(
                        Optional.of(TLS_DIRECTORY.resolve("fleet.pem").toString())));
    }

    @Test
    void portWithAnUntrustedCertificateIsReported() throws Exception {
        assertTrue(readReportedErrors(
                        Optional.of(TLS_DIRECTORY.resolve("other.pem").toString()))
                .contains(address + ": no answer"));
    }

    @Test
    void tlsPortCalledWithoutTlsIsReported() throws Exception {
        assertTrue(readReportedErrors(Optional.empty()).contains(address + ": no answer"));
    }
}
