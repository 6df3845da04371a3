package io.persimmonstack.router;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerSecurity;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Starts routers in this process, with a fake coordinator, fake targets and an in-memory key-value service. */
final class RouterFixture implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String SETTINGS_TEMPLATE = """
            {"node":"%s","zone":"z1","region":"r1","callersAddress":"127.0.0.1:0","peerAddress":"%s",
             "coordinators":["%s"],"kv":{"endpoint":"127.0.0.1:1"}%s}""";

    private final Closer closer = Closer.create();
    private final InMemoryKvStore kv = InMemoryKvStore.create();
    private final FakeCoordinator coordinator;
    private final List<Router> routers = new ArrayList<>();
    private final List<String> peerAddresses = new ArrayList<>();
    private final List<ProgramContext> contexts = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private RouterFixture(PeerSecurity security) throws Exception {
        closer.add(client);
        coordinator = closer.add(FakeCoordinator.start("c1", security));
    }

    static RouterFixture start(int count) throws Exception {
        return start(count, "");
    }

    static RouterFixture start(int count, String extraSettings) throws Exception {
        return start(count, extraSettings, PeerSecurity.open());
    }

    /**
     * Starts a coordinator and routers named e1, e2 and so on.
     *
     * @param count number of routers
     * @param extraSettings JSON fields to append to the settings of each router, with a leading comma, or empty
     * @param security TLS settings of the coordinator
     */
    static RouterFixture start(int count, String extraSettings, PeerSecurity security) throws Exception {
        RouterFixture fixture = new RouterFixture(security);
        for (int i = 1; i <= count; i++) {
            fixture.startRouter("e" + i, extraSettings, List.of(fixture.coordinator.address()));
        }
        return fixture;
    }

    static RouterFixture withoutRouters() throws Exception {
        return new RouterFixture(PeerSecurity.open());
    }

    /** Starts one more router, with a free port for its peers. */
    Router startRouter(String node, String extraSettings, List<String> coordinators) throws Exception {
        String peerAddress = "127.0.0.1:" + freePort();
        String coordinatorList = String.join("\",\"", coordinators);
        String settingsJson = SETTINGS_TEMPLATE.formatted(node, peerAddress, coordinatorList, extraSettings);
        RouterSettings settings = SettingsReader.parse(settingsJson, "test", RouterSettings.class);
        Tracing tracing = closer.add(Tracing.of("persimmon-router"));
        ProgramContext context = new ProgramContext(new MetricRegistry(), Readiness.starting(), tracing, closer);
        Router router = closer.add(Router.start(settings, kv, context));
        routers.add(router);
        peerAddresses.add(peerAddress);
        contexts.add(context);
        return router;
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    FakeTarget target(String name, FakeTarget.Behaviour behaviour) {
        return closer.add(FakeTarget.start(name, behaviour));
    }

    FakeCoordinator coordinator() {
        return coordinator;
    }

    InMemoryKvStore kv() {
        return kv;
    }

    Router router(int index) {
        return routers.get(index);
    }

    MetricRegistry metrics(int index) {
        return contexts.get(index).metrics();
    }

    ProgramContext context(int index) {
        return contexts.get(index);
    }

    /** Returns a fleet that contains all started routers. */
    FakeFleet fleet() {
        FakeFleet fleet = FakeFleet.of();
        for (int i = 0; i < routers.size(); i++) {
            fleet.router("e" + (i + 1), routers.get(i), peerAddresses.get(i));
        }
        return fleet;
    }

    /** Publishes a fleet and waits until every router has received a snapshot of it. */
    void publish(FakeFleet fleet) {
        List<Long> before = routers.stream().map(Router::snapshots).toList();
        coordinator.publish(fleet);
        await(() -> {
            for (int i = 0; i < routers.size(); i++) {
                if (routers.get(i).snapshots() <= before.get(i)) {
                    return false;
                }
            }
            return true;
        });
    }

    /** Waits until a condition holds; fails the test after 30 s. */
    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within " + TIMEOUT);
            }
            Thread.onSpinWait();
        }
    }

    HttpRequest.Builder request(int router, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + routers.get(router).callersAddress() + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + FakeFleet.CALLER_KEY);
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String path) throws Exception {
        return send(request(0, path).build());
    }

    /** Returns a chat completion request; {@code headers} are alternating names and values. */
    HttpRequest chatRequest(int router, String model, boolean stream, String... headers) {
        String body = "{\"model\":\"%s\",\"stream\":%b,\"messages\":[{\"role\":\"user\",\"content\":\"why?\"}]}"
                .formatted(model, stream);
        HttpRequest.Builder builder =
                request(router, "/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    /** Returns a chat completion request with the given prompt. */
    HttpRequest promptRequest(int router, String text, String... headers) {
        String body = "{\"model\":\"deed\",\"messages\":[{\"content\":\"" + text + "\"}]}";
        return request(router, "/v1/chat/completions")
                .headers(headers)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Returns a service call; {@code path} starts with the name of the service. */
    HttpRequest serviceRequest(int router, String path, String body, String... headers) {
        HttpRequest.Builder builder =
                request(router, "/services/" + path).POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    @Override
    public void close() {
        closer.close();
    }
}
