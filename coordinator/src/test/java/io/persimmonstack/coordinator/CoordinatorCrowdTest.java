package io.persimmonstack.coordinator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.crowd.CrowdCheck;
import io.persimmonstack.coordination.crowd.FreePort;
import io.persimmonstack.coordination.crowd.HttpCrowd;
import io.persimmonstack.coordination.crowd.JavaProcess;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against clients outside the limits that end or stall a coordinator by its admin port. The crowds and the
 * bounds are fixed. No other process of the fleet runs.
 */
class CoordinatorCrowdTest {
    private static final int HEAP_MB = 40;
    private static final long MEMORY_MB = 200;
    /** The heap allows 320 connections of the admin port. */
    private static final long MAX_DESCRIPTORS = 750;

    private static final String SETTINGS = """
            {"node": "e1", "zone": "z", "region": "r", "address": "127.0.0.1:%d", "kv": {"endpoint": "127.0.0.1:%d"},
             "hostList": "127.0.0.1:%d", "weightStore": "127.0.0.1:%d"}""";

    @TempDir
    Path directory;

    private HttpClient client;
    private JavaProcess process;
    private int adminPort;

    @BeforeEach
    void start() throws Exception {
        client = HttpClient.newHttpClient();
        adminPort = FreePort.find();
        String settings = SETTINGS.formatted(FreePort.find(), FreePort.find(), FreePort.find(), FreePort.find());
        Path file = Files.writeString(directory.resolve("coordinator.json"), settings);
        process = JavaProcess.start(
                HEAP_MB,
                directory.resolve("log").toFile(),
                CoordinatorProgram.class,
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

    @ParameterizedTest
    @EnumSource
    void admin(HttpCrowd crowd) throws Exception {
        CrowdCheck check = CrowdCheck.of(
                process.handle(), MEMORY_MB, MAX_DESCRIPTORS, HttpCrowd.get(client, adminPort, "/metrics"));
        assertTrue(check.answersOrdinaryRequest(), "ordinary request answered before the crowd");
        crowd.check(check, adminPort);
    }
}
