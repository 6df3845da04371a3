package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordinator.CoordinatorProgram;
import io.persimmonstack.coordinator.CoordinatorSettings;
import io.persimmonstack.ctl.PersimmonCtl;
import io.persimmonstack.ctl.Terminal;
import io.persimmonstack.router.Router;
import io.persimmonstack.router.RouterProgram;
import io.persimmonstack.router.RouterSettings;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.Program;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.admin.AdminServer;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.standin.StandinSettings;
import io.persimmonstack.standin.Standins;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sends a cold request through a router and two coordinators in one process, each with a span buffer of its own. */
@Timeout(120)
class ColdTraceTest {
    private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
    private static final String CALLER_SPAN_ID = "00f067aa0ba902b7";
    private static final int MIN_COORDINATOR_HOPS = 2;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);
    /**
     * Model whose demand is aggregated at the coordinator that the router does not ask, so that one more hop is needed.
     */
    private static final String MODEL = IntStream.iterate(0, i -> i + 1)
            .mapToObj(i -> "summary-" + i)
            .filter(name -> RendezvousHash.preferred(name, List.of("e0", "e1")).equals(Optional.of("e1")))
            .findFirst()
            .orElseThrow();

    private static final String SHEET = """
        # exported_from: 0
        deployment,model,versions,adapters,callers,priority,replica_cap,min_replicas,cold_start_weight,max_deadline_ms
        desk,%s,1,,desk,0,1,1,60,60000
        """;
    private static final String STANDINS = """
        {"kv": {"port": 0}, "hostList": {"port": 0, "entryHosts": []},
         "weightStore": {"port": 0, "bytesPerSecond": 10000000, "weights": [
           {"model": "%s", "version": "1", "bytes": 200, "memoryBytes": 100}]},
         "engines": [{"name": "runner", "firstPort": 0, "memoryBytes": 150, "zones": ["a"], "region": "r"}],
         "services": []}\
        """;
    private final Closer closer = Closer.create();
    private final List<Tracing> tracings = new ArrayList<>();
    private final List<String> adminAddresses = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final HttpClient client = closer.add(HttpClient.newHttpClient());

    @TempDir
    Path directory;

    private Standins standins;
    private Router router;
    private Path settings;

    @BeforeEach
    void start() throws Exception {
        standins = closer.add(
                Standins.start(SettingsReader.parse(STANDINS.formatted(MODEL), "test", StandinSettings.class)));
        List<String> coordinators = List.of(freeAddress(), freeAddress());
        String kvSetting = "\"kv\": {\"endpoint\": \"%s\"}".formatted(standins.address(Standins.KV));
        for (int i = 0; i < coordinators.size(); i++) {
            start(
                    new CoordinatorProgram(),
                    """
                    {"node": "e%d", "zone": "a", "region": "r", "address": "%s", "seeds": ["%s"], %s,
                     "hostList": "%s", "weightStore": "%s", "probeIntervalMs": 100, "hostListIntervalMs": 100,
                     "configurationIntervalMs": 200, "ownershipIntervalMs": 100}
                    """.formatted(
                                    i,
                                    coordinators.get(i),
                                    coordinators.get(0),
                                    kvSetting,
                                    standins.address(Standins.HOST_LIST),
                                    standins.address(Standins.WEIGHT_STORE)),
                    CoordinatorSettings.class);
        }
        String addresses = String.join("\", \"", coordinators);
        router = (Router)
                start(RouterProgram.create(), """
                    {"node": "e0", "zone": "a", "region": "r", "callersAddress": "127.0.0.1:0", "peerAddress": "%s",
                     "coordinators": ["%s"], %s}
                    """.formatted(freeAddress(), addresses, kvSetting), RouterSettings.class);
        settings = Files.writeString(
                directory.resolve("ctl.json"),
                "{\"kv\": \"%s\", \"coordinators\": [\"%s\"], \"admins\": [\"%s\"]}"
                        .formatted(standins.address(Standins.KV), addresses, String.join("\", \"", adminAddresses)));
    }

    private <S extends Record> RunningProgram start(Program<S> program, String text, Class<S> type) throws Exception {
        Tracing tracing = closer.add(Tracing.of(program.name()));
        ProgramContext context = new ProgramContext(new MetricRegistry(), Readiness.starting(), tracing, closer);
        tracings.add(tracing);
        adminAddresses.add("127.0.0.1:"
                + closer.add(AdminServer.start("127.0.0.1", 0, context)).port());
        return closer.add(program.start(SettingsReader.parse(text, "test", type), context));
    }

    private static String freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @AfterEach
    void close() {
        closer.close();
    }

    @Test
    void spansOfAColdRequestFormOneTree() throws Exception {
        ctl(
                "sheet",
                "apply",
                Files.writeString(directory.resolve("sheet.csv"), SHEET.formatted(MODEL))
                        .toString());
        ctl("caller", "add", "desk");
        String key = out.toString(StandardCharsets.UTF_8).lines().toList().getLast();
        await(() -> send("GET", "/v1/models", key, "").statusCode() == 200);
        int attempts = 0;
        HttpResponse<String> answer;
        do {
            answer = send("POST", "/v1/chat/completions", key, "{\"model\":\"" + MODEL + "\",\"messages\":[]}");
            attempts++;
        } while (answer.statusCode() == 503);
        assertEquals(200, answer.statusCode(), answer.body());
        int requests = attempts;
        await(() -> spanCount("account") == requests
                && spanCount("coordinator.load") >= MIN_COORDINATOR_HOPS
                && orphans().isEmpty());
        List<SpanData> spans = spans();
        assertEquals(List.of(), orphans());
        assertTrue(spanCount("coordinator.load") >= MIN_COORDINATOR_HOPS, spans::toString);
        assertTrue(spans.stream().allMatch(span -> span.getTraceId().equals(TRACE_ID)));
        List<String> hops = spans.stream().map(SpanData::getName).distinct().toList();
        assertTrue(
                hops.containsAll(List.of("receive", "admit", "coordinator.load", "dispatch", "relay")), hops::toString);
        out.reset();
        ctl("trace", TRACE_ID);
        String tree = out.toString(StandardCharsets.UTF_8);
        assertEquals(spans.size(), tree.lines().count(), tree);
    }

    private HttpResponse<String> send(String method, String path, String key, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + router.callersAddress() + path))
                .header("Authorization", "Bearer " + key)
                .header("traceparent", "00-" + TRACE_ID + "-" + CALLER_SPAN_ID + "-01")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private List<SpanData> spans() {
        return tracings.stream()
                .flatMap(tracing -> tracing.buffer().trace(TRACE_ID).stream())
                .toList();
    }

    private long spanCount(String name) {
        return spans().stream().filter(span -> span.getName().equals(name)).count();
    }

    /** Returns the spans whose parent is neither a span of the trace nor the caller's span. */
    private List<SpanData> orphans() {
        List<SpanData> spans = spans();
        Set<String> spanIds = spans.stream().map(SpanData::getSpanId).collect(Collectors.toSet());
        spanIds.add(CALLER_SPAN_ID);
        return spans.stream()
                .filter(span -> !spanIds.contains(span.getParentSpanId()))
                .toList();
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void await(Condition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.holds() && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
    }

    private void ctl(String... arguments) throws Exception {
        HttpConnector connector = closer.add(HttpConnector.create(HttpConnectorOptions.defaults()));
        PersimmonCtl.KvConnector kv = ignored -> EtcdKvStore.create(
                connector, standins.address(Standins.KV), KvOptions.defaults(), new MetricRegistry());
        PrintStream printed = new PrintStream(out, true, StandardCharsets.UTF_8);
        String[] all = Stream.concat(Stream.of(arguments), Stream.of("--settings", settings.toString()))
                .toArray(String[]::new);
        assertEquals(
                ExitCode.OK, PersimmonCtl.of(new Terminal(printed, printed), kv).run(all), out::toString);
    }
}
