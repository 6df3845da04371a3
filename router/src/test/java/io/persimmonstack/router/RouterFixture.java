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

/** Routers in this process with a fake coordinator, fake targets and an in-memory key-value service. */
final class RouterFixture implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final String SETTINGS = """
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
            .connectTimeout(PATIENCE)
            .build();

    private RouterFixture(PeerSecurity security) throws Exception {
        closer.add(client);
        coordinator = closer.add(FakeCoordinator.start("c1", security));
    }

    static RouterFixture start(int count) throws Exception {
        return start(count, "");
    }

    static RouterFixture start(int count, String moreSettings) throws Exception {
        return start(count, moreSettings, PeerSecurity.plaintext());
    }

    static RouterFixture start(int count, String moreSettings, PeerSecurity security) throws Exception {
        RouterFixture fixture = new RouterFixture(security);
        for (int i = 1; i <= count; i++) {
            fixture.startRouter("e" + i, moreSettings, List.of(fixture.coordinator.address()));
        }
        return fixture;
    }

    static RouterFixture withoutRouters() throws Exception {
        return new RouterFixture(PeerSecurity.plaintext());
    }

    Router startRouter(String node, String moreSettings, List<String> coordinators) throws Exception {
        String peerAddress = "127.0.0.1:" + freePort();
        String others = String.join("\",\"", coordinators);
        String text = SETTINGS.formatted(node, peerAddress, others, moreSettings);
        RouterSettings settings = SettingsReader.parse(text, "test", RouterSettings.class);
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

    /** Returns a fleet that shows all routers. */
    Fleet fleet() {
        Fleet fleet = Fleet.of();
        for (int i = 0; i < routers.size(); i++) {
            fleet.router("e" + (i + 1), routers.get(i), peerAddresses.get(i));
        }
        return fleet;
    }

    /** Shows a fleet and waits until all routers have it. */
    void publish(Fleet fleet) {
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

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + PATIENCE);
            }
            Thread.onSpinWait();
        }
    }

    HttpRequest.Builder request(int router, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + routers.get(router).callersAddress() + path))
                .timeout(PATIENCE)
                .header("Authorization", "Bearer " + Fleet.KEY);
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

    HttpRequest chat(int router, String model, boolean stream, String... headers) {
        String body = "{\"model\":\"%s\",\"stream\":%b,\"messages\":[{\"role\":\"user\",\"content\":\"why?\"}]}"
                .formatted(model, stream);
        HttpRequest.Builder builder =
                request(router, "/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    HttpRequest prompt(int router, String text, String... headers) {
        String body = "{\"model\":\"deed\",\"messages\":[{\"content\":\"" + text + "\"}]}";
        return request(router, "/v1/chat/completions")
                .headers(headers)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpRequest call(int router, String path, String body, String... headers) {
        HttpRequest.Builder builder =
                request(router, "/services/" + path).POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    @Override
    public void close() {
        closer.close();
    }
}
