package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.crowd.Crowd;
import io.persimmonstack.coordination.crowd.CrowdCheck;
import io.persimmonstack.coordination.crowd.FreePort;
import io.persimmonstack.coordination.crowd.JavaProcess;
import io.persimmonstack.coordination.crowd.ProcessPause;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.wire.gen.RouterState;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests inside the limits that end or stall a router by what it keeps of them, or by what it makes of
 * them. The crowds and the bounds are fixed. A fake coordinator publishes the fleet.
 */
class RouterContentTest {
    private static final int HEAP_MB = 40;
    private static final long MEMORY_MB = 200;
    /** The heap allows 640 callers. */
    private static final long MAX_DESCRIPTORS = 750;

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int BODY_BYTES = 1_000_000;
    private static final int LONG_PATH_BYTES = 30_000;
    /** Longest name of a field that the JSON library reads. */
    private static final int FIELD_NAME_BYTES = 49_000;

    private static final int FIELDS = 20;
    /** Longest value of a member of a trace state, and the number of members, by W3C Trace Context. */
    private static final int TRACE_VALUE_BYTES = 256;

    private static final int TRACE_MEMBERS = 32;
    private static final long SENDING_MS = 40_000;
    private static final long ENDLESS_MS = 4_000;
    private static final long DRIP_PAUSE_MS = 200;
    private static final int OK = 200;
    private static final String SETTINGS = """
            {"node": "e1", "zone": "z1", "region": "r1", "callersAddress": "127.0.0.1:%d",
             "peerAddress": "127.0.0.1:%d", "coordinators": ["%s"], "kv": {"endpoint": "127.0.0.1:%d"},
             "callers": {"maxBodyBytes": %d, "receiveTimeoutMs": 60000}}""";

    private final Closer closer = Closer.create();
    private final AtomicInteger count = new AtomicInteger();
    /** Paths of the requests that the router has sent to the service. */
    private final List<String> servedPaths = new CopyOnWriteArrayList<>();

    @TempDir
    Path directory;

    private HttpClient client;
    private int port;
    private int adminPort;
    private JavaProcess process;
    private CrowdCheck check;

    @BeforeEach
    void start() throws Exception {
        client = HttpClient.newHttpClient();
        FakeTarget target = closer.add(FakeTarget.start("t1", (exchange, received) -> {
            servedPaths.add(exchange.getRequestPath());
            exchange.getResponseSender().send("done");
        }));
        FakeCoordinator coordinator = closer.add(FakeCoordinator.start("c1"));
        port = FreePort.find();
        int peerPort = FreePort.find();
        adminPort = FreePort.find();
        String settings = SETTINGS.formatted(port, peerPort, coordinator.address(), FreePort.find(), MAX_BODY_BYTES);
        Path file = Files.writeString(directory.resolve("router.json"), settings);
        coordinator.publish(FakeFleet.of()
                .router("e1", "127.0.0.1:" + port, "127.0.0.1:" + peerPort, RouterState.SERVING)
                .service("map", target));
        process = closer.add(JavaProcess.start(
                HEAP_MB,
                directory.resolve("log").toFile(),
                RouterProgram.class,
                "--settings",
                file.toString(),
                "--admin",
                "127.0.0.1:" + adminPort));
        check = CrowdCheck.of(process.handle(), MEMORY_MB, MAX_DESCRIPTORS, this::isOrdinaryRequestAnswered);
        assertTrue(check.answersOrdinaryRequest(), "ordinary request answered before the crowd");
    }

    @AfterEach
    void stop() {
        client.shutdownNow();
        closer.close();
    }

    private boolean isOrdinaryRequestAnswered() throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/services/map/x"))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Bearer " + FakeFleet.CALLER_KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == OK;
        } catch (IOException e) {
            // Refused at the start, or closed; the next attempt follows.
            return false;
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns a request whose connection is closed after its answer. */
    private static byte[] request(String path, String headers, String body) {
        return bytes("POST " + path + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\nAuthorization: Bearer "
                + FakeFleet.CALLER_KEY + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
    }

    private static byte[] chat(String model, String messages) {
        return request("/v1/chat/completions", "", "{\"model\":\"" + model + "\",\"messages\":[" + messages + "{}]}");
    }

    /** Returns a long value that no other request has. */
    private String longValue(int length) {
        String start = "%08x".formatted(count.incrementAndGet());
        return start.repeat(length / start.length());
    }

    /** A body used to be parsed into a tree of many times its size, before its caller was identified. */
    @Test
    void bodiesOfManyObjects() throws Exception {
        byte[] body = chat("deed", "{},".repeat(BODY_BYTES / 3));
        check.checkDuring(Crowd.startRepeating(4, port, 5, out -> out.write(body)), SENDING_MS);
    }

    /** Names of fields used to be kept by the JSON library for all later bodies. */
    @Test
    void longNamesOfFields() throws Exception {
        check.checkDuring(
                Crowd.startRepeating(4, port, 40, out -> out.write(chat("deed", "{" + longFields() + "},"))),
                SENDING_MS);
    }

    private String longFields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < FIELDS; i++) {
            fields.append('"').append(longValue(FIELD_NAME_BYTES)).append("\":1,");
        }
        return fields + "\"role\":\"user\"";
    }

    /** Names of unknown models used to be kept, whatever their length, with the latest refusals. */
    @Test
    void modelsThatDoNotExist() throws Exception {
        check.checkDuring(
                Crowd.startRepeating(1, port, 60, out -> out.write(chat(longValue(BODY_BYTES), ""))), SENDING_MS);
    }

    @Test
    void servicesThatDoNotExist() throws Exception {
        check.checkDuring(
                Crowd.startRepeating(
                        8,
                        port,
                        250,
                        out -> out.write(request("/services/" + longValue(LONG_PATH_BYTES) + "/x", "", "{}"))),
                SENDING_MS);
    }

    /** Trace states used to be kept with the latest spans. */
    @Test
    void longTraceStates() throws Exception {
        check.checkDuring(
                Crowd.startRepeating(8, port, 250, out -> out.write(request("/nothing", traceHeaders(), ""))),
                SENDING_MS);
    }

    private String traceHeaders() {
        StringBuilder headers = new StringBuilder(
                "traceparent: 00-%032x-00f067aa0ba902b7-01\r\ntracestate: ".formatted(count.incrementAndGet()));
        for (int member = 0; member < TRACE_MEMBERS; member++) {
            headers.append(member == 0 ? "" : ",")
                    .append('m')
                    .append(member)
                    .append('=')
                    .append(longValue(TRACE_VALUE_BYTES));
        }
        return headers + "\r\n";
    }

    /** The time limit for the receipt of a request used to keep what had come of its body after its caller had left. */
    @Test
    void bodiesThatAreBrokenOff() throws Exception {
        byte[] start = bytes("POST /services/map/x HTTP/1.1\r\nHost: r\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        byte[] part = new byte[BODY_BYTES - 1_000];
        check.checkDuring(
                Crowd.startRepeating(2, port, 60, out -> {
                    out.write(start);
                    out.write(part);
                    throw new IOException("broken off");
                }),
                SENDING_MS);
    }

    /** Pages that nobody reads used to stay in memory, one a connection. */
    @Test
    void pagesThatAreNotRead() throws Exception {
        try (Crowd refused =
                Crowd.startRepeating(8, port, 200, out -> out.write(request("/nothing-" + "x".repeat(300), "", "")))) {
            refused.awaitSent(SENDING_MS);
        }
        byte[] request = bytes("GET /refusals/ HTTP/1.1\r\nHost: r\r\n\r\n");
        // Several on each connection, since the system takes the first ones.
        check.checkDuring(
                Crowd.startOnce(150, adminPort, out -> {
                    for (int i = 0; i < 8; i++) {
                        out.write(request);
                    }
                }),
                ENDLESS_MS);
    }

    /** Bodies that go on slowly used to take all places: other callers were reset. */
    @Test
    void bodiesThatDripOnAllConnections() throws Exception {
        byte[] start = bytes("POST /services/map/x HTTP/1.1\r\nHost: r\r\nContent-Length: 2000\r\n\r\n");
        check.checkDuring(Crowd.startDripping(800, port, start, bytes("a"), DRIP_PAUSE_MS), ENDLESS_MS);
    }

    /** Requests that were read late used to be sent on for callers that had left meanwhile. */
    @Test
    void requestsOfCallersThatHaveLeftAreNotSent() throws Exception {
        String path = "/services/map/left";
        try (ProcessPause pause = ProcessPause.begin(process.handle().pid())) {
            Crowd.sendAndLeave(40, port, out -> out.write(request(path, "", "{}")));
        }
        assertTrue(check.answersOrdinaryRequest(), "ordinary request answered afterwards");
        assertFalse(servedPaths.stream().anyMatch(served -> served.endsWith("/left")), servedPaths.toString());
    }
}
