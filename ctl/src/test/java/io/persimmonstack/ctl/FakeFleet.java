package io.persimmonstack.ctl;

import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.StatusAnswer;
import io.persimmonstack.wire.gen.StatusLine;
import io.undertow.Undertow;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** In-process coordinators and one admin port whose answers a test sets. */
final class FakeFleet implements AutoCloseable {
    /** Received drain calls, each as node, runner and whether it starts the draining. */
    final List<String> drainCalls = new ArrayList<>();
    /** Content of the admin port by path; other paths return an empty list. */
    final Map<String, String> adminPages = new ConcurrentHashMap<>();

    private final Map<String, ThriftServer> coordinators = new TreeMap<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, List<StatusLine>> explanations = new ConcurrentHashMap<>();
    private final List<RunnerStatus> runners = new ArrayList<>();
    private final List<StatusLine> acquisitionFailures = new ArrayList<>();
    private final Undertow admin;

    private FakeFleet() {
        admin = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setHandler(exchange ->
                        exchange.getResponseSender().send(adminPages.getOrDefault(exchange.getRequestPath(), "[]")))
                .build();
        admin.start();
    }

    static FakeFleet start(String... nodes) throws Exception {
        FakeFleet fleet = new FakeFleet();
        for (String node : nodes) {
            Coordinator.Iface handler = (Coordinator.Iface) Proxy.newProxyInstance(
                    FakeFleet.class.getClassLoader(),
                    new Class<?>[] {Coordinator.Iface.class},
                    (proxy, method, arguments) -> switch (method.getName()) {
                        case "status" -> fleet.status();
                        case "explain" -> fleet.explanations.getOrDefault(node + " " + arguments[0], List.of());
                        case "drainRunner" -> fleet.drainCalls.add(node + " " + arguments[0] + " " + arguments[1]);
                        default -> throw new UnsupportedOperationException(method.getName());
                    });
            ThriftServer server =
                    ThriftServer.start(new PeerAddress("127.0.0.1", 0), new Coordinator.Processor<>(handler));
            fleet.coordinators.put(node, server);
            fleet.addresses.put(node, address(server.port()));
        }
        return fleet;
    }

    /** Returns settings of persimmonctl with the addresses of all coordinators and the admin port. */
    String settingsJson() {
        return "{\"kv\": \"127.0.0.1:1\", \"coordinators\": [\"" + String.join("\", \"", addresses.values())
                + "\"], \"admins\": [\""
                + address(((InetSocketAddress) admin.getListenerInfo().get(0).getAddress()).getPort())
                + "\"]}";
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    /** Adds a runner with 8 GiB of memory, one loaded and one loading model. */
    void addRunner(String name, String owner, boolean leaving) {
        LoadedModel loaded = new LoadedModel("deduction@v1", LoadState.LOADED, 3L << 30, List.of("ar"));
        LoadedModel loading = new LoadedModel("dispute@v2", LoadState.LOADING, 1L << 30, List.of());
        RunnerStatus status = new RunnerStatus(
                name,
                "127.9.0.1:1",
                "cairo-a",
                "egypt",
                owner,
                7,
                3,
                1,
                8L << 30,
                List.of("deduction@v1"),
                List.of(loaded, loading),
                leaving,
                true,
                8);
        runners.add(status);
    }

    /** Adds the reason why a runner was not acquired to the status answer. */
    void addAcquisitionFailure(String runner, String reason) {
        acquisitionFailures.add(new StatusLine("runner " + runner, "not acquired", reason));
    }

    /** Sets the answer of one node to an explain call for a subject. */
    void setExplanation(String node, String subject, StatusLine... lines) {
        explanations.put(node + " " + subject, List.of(lines));
    }

    private StatusAnswer status() {
        List<Member> members = coordinators.keySet().stream().map(this::member).toList();
        return new StatusAnswer(members.get(0), members, runners, acquisitionFailures);
    }

    private Member member(String node) {
        return new Member(
                node,
                7,
                1,
                MemberStatus.ALIVE,
                "cairo-a",
                "egypt",
                addresses.get(node),
                RouterState.SERVING,
                "10.0.0.1:80",
                "10.0.0.1:81",
                12,
                7);
    }

    /** Stops the coordinator of a node; the node stays a member. */
    void stopCoordinator(String node) {
        coordinators.get(node).close();
    }

    @Override
    public void close() {
        coordinators.values().forEach(ThriftServer::close);
        admin.stop();
    }
}
