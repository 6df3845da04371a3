package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.crowd.CrowdCheck;
import io.persimmonstack.coordination.crowd.FreePort;
import io.persimmonstack.coordination.crowd.HttpCrowd;
import io.persimmonstack.coordination.crowd.JavaProcess;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against clients outside the limits that end or stall a router, by an exhausted heap, by descriptors or by I/O
 * threads that serve nothing else. The crowds and the bounds are fixed. No coordinator and no store run.
 */
class RouterCrowdTest {
    private static final int HEAP_MB = 40;
    private static final long MEMORY_MB = 200;
    /** The heap allows 640 callers. */
    private static final long MAX_DESCRIPTORS = 750;

    private static final String SETTINGS = """
            {"node": "e1", "zone": "z", "region": "r", "callersAddress": "127.0.0.1:%d",
             "peerAddress": "127.0.0.1:%d", "coordinators": ["127.0.0.1:%d"], "kv": {"endpoint": "127.0.0.1:%d"}}""";

    @TempDir
    Path directory;

    private HttpClient client;
    private JavaProcess process;
    private int callersPort;
    private int adminPort;

    @BeforeEach
    void start() throws Exception {
        client = HttpClient.newHttpClient();
        callersPort = FreePort.find();
        adminPort = FreePort.find();
        String settings = SETTINGS.formatted(callersPort, FreePort.find(), FreePort.find(), FreePort.find());
        Path file = Files.writeString(directory.resolve("router.json"), settings);
        process = JavaProcess.start(
                HEAP_MB,
                directory.resolve("log").toFile(),
                RouterProgram.class,
                "--settings",
                file.toString(),
                "--admin",
                "127.0.0.1:" + adminPort);
    }

    @AfterEach
    void stop() {
        process.close();
        client.shutdownNow();
    }

    private void check(HttpCrowd crowd, int port) throws Exception {
        Map<Integer, String> ordinaryPaths = Map.of(callersPort, "/v1/addresses", adminPort, "/metrics");
        CrowdCheck check = CrowdCheck.of(
                process.handle(), MEMORY_MB, MAX_DESCRIPTORS, HttpCrowd.get(client, port, ordinaryPaths.get(port)));
        assertTrue(check.answersOrdinaryRequest(), "ordinary request answered before the crowd");
        crowd.check(check, port);
    }

    @ParameterizedTest
    @EnumSource
    void callers(HttpCrowd crowd) throws Exception {
        check(crowd, callersPort);
    }

    @ParameterizedTest
    @EnumSource
    void admin(HttpCrowd crowd) throws Exception {
        check(crowd, adminPort);
    }
}
