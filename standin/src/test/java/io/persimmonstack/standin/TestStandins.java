package io.persimmonstack.standin;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.wire.PeerAddress;
import java.nio.charset.StandardCharsets;

/** Stand-ins on free ports and an HTTP connector to them, for one test. */
public final class TestStandins implements AutoCloseable {
    /** Timeouts long enough that no call to a healthy stand-in exceeds them. */
    public static final HttpTimeouts LONG_TIMEOUTS = HttpTimeouts.of(5_000, 20_000, 20_000);

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final String SETTINGS = """
            {
              "kv": {"port": 0},
              "hostList": {"port": 0, "entryHosts": [
                {"host": "entry-1", "address": "10.0.0.1:17401", "zone": "zone-a", "region": "cairo"}]},
              "weightStore": {"port": 0, "bytesPerSecond": 10000, "weights": [
                {"model": "summary", "version": "1", "bytes": 200, "memoryBytes": 100},
                {"model": "lease", "version": "1", "bytes": 200, "memoryBytes": 100},
                {"model": "summary", "version": "1", "adapter": "tenants", "bytes": 10, "memoryBytes": 5},
                {"model": "summary", "version": "1", "adapter": "wide", "bytes": 10, "memoryBytes": 100}]},
              "engines": [
                {"name": "runner-1", "firstPort": 0, "memoryBytes": 150, "tokensPerSecond": 500, "prefillMs": 1,
                 "maxConcurrent": 2, "maxQueued": 1, "zones": ["zone-a"], "region": "cairo"}%s],
              "services": [
                {"name": "desk", "firstPort": 0, "latencyMs": 1, "zones": ["zone-a"], "region": "cairo"}]
            }
            """;
    private static final String TOKEN_CHECKING_ENGINE = """
            , {"name": "checking", "firstPort": 0, "memoryBytes": 150, "orderToken": "sesame",
               "zones": ["zone-b"], "region": "cairo"}""";
    private static final String NON_FENCING_ENGINE = """
            , {"name": "plain", "firstPort": 0, "memoryBytes": 150, "fencing": false, "resumes": false,
               "softwareVersion": "", "zones": ["zone-b"], "region": "cairo"}""";
    private final Closer closer = Closer.create();
    private final Standins standins;
    private final HttpConnector connector;

    private TestStandins(String settings) throws RuntimeFailure {
        standins = closer.add(Standins.start(SettingsReader.parse(settings, "test", StandinSettings.class)));
        connector = closer.add(HttpConnector.create(HttpConnectorOptions.defaults()));
    }

    /** Starts one stand-in of each kind; the engine checks fencing tokens. */
    public static TestStandins start() throws RuntimeFailure {
        return new TestStandins(SETTINGS.formatted(""));
    }

    /** Starts one stand-in of each kind, and an engine that neither checks fencing tokens nor resumes streams. */
    public static TestStandins startWithNonFencingEngine() throws RuntimeFailure {
        return new TestStandins(SETTINGS.formatted(NON_FENCING_ENGINE));
    }

    /** Starts one stand-in of each kind, and an engine that accepts only orders with the bearer token. */
    public static TestStandins startWithTokenCheckingEngine() throws RuntimeFailure {
        return new TestStandins(SETTINGS.formatted(TOKEN_CHECKING_ENGINE));
    }

    /** Returns the running stand-ins. */
    public Standins standins() {
        return standins;
    }

    /** Returns the connector that the test sends its requests with. */
    public HttpConnector connector() {
        return connector;
    }

    /** Returns the address of a stand-in, see {@link Standins#address}. */
    public PeerAddress address(String name) {
        return standins.address(name);
    }

    /** Activates a fault on a stand-in; fails if the stand-in rejects it. */
    public void injectFault(String standin, String json) throws HttpFailure {
        String answer = exchange(standin, HttpRequest.postJson("/faults", json));
        if (!answer.startsWith("200 ")) {
            throw new IllegalArgumentException(answer);
        }
    }

    /** Ends all faults of a stand-in. */
    public void clearFaults(String standin) throws HttpFailure {
        exchange(standin, new HttpRequest("DELETE", "/faults", java.util.List.of(), new byte[0]));
    }

    /** Sends a request and returns its status and body, separated by a space. */
    public String exchange(String standin, HttpRequest request) throws HttpFailure {
        try (HttpCall call = connector.open(address(standin), request, LONG_TIMEOUTS)) {
            return call.status() + " " + new String(call.readAll(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
