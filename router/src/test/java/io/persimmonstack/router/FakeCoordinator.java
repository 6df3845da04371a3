package io.persimmonstack.router;

import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;
import io.persimmonstack.wire.gen.WireRefusal;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/** Coordinator that serves the snapshots and load answers that a test sets. */
final class FakeCoordinator implements AutoCloseable {
    private final String node;
    private final ThriftServer server;
    private final List<LoadRequest> loadRequests = new CopyOnWriteArrayList<>();
    private final List<Map<String, String>> loadTraces = new CopyOnWriteArrayList<>();
    private final Map<String, RouterState> routerStates = new ConcurrentHashMap<>();
    private volatile Function<LoadRequest, LoadAnswer> loadAnswers =
            request -> new LoadAnswer(LoadResult.REFUSED_MEMORY).setReason("no room");
    private Snapshot publishedSnapshot;
    private long sequence;
    private volatile boolean stoppedAnswering;

    private FakeCoordinator(String node, PeerSecurity security) throws WireException {
        this.node = node;
        Coordinator.Iface handler = (Coordinator.Iface) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Coordinator.Iface.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "awaitSnapshot" -> awaitSnapshot((SnapshotRequest) arguments[0]);
                    case "load" -> load((LoadRequest) arguments[0], traceHeaders(arguments[1]));
                    case "reportUse" -> null;
                    default -> throw new UnsupportedOperationException(method.getName());
                });
        this.server =
                ThriftServer.start(new PeerAddress("127.0.0.1", 0), new Coordinator.Processor<>(handler), security);
    }

    static FakeCoordinator start(String node) throws WireException {
        return start(node, PeerSecurity.plaintext());
    }

    static FakeCoordinator start(String node, PeerSecurity security) throws WireException {
        return new FakeCoordinator(node, security);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    /** Publishes a fleet as the next snapshot. */
    synchronized void publish(FakeFleet fleet) {
        publishedSnapshot = fleet.snapshot(node, ++sequence);
        notifyAll();
    }

    void answerLoadsWith(Function<LoadRequest, LoadAnswer> answer) {
        loadAnswers = answer;
    }

    List<LoadRequest> loadRequests() {
        return loadRequests;
    }

    /** Returns the trace headers that came with each load request, in the same order. */
    List<Map<String, String>> loadTraces() {
        return loadTraces;
    }

    /** Returns the state that a router last reported, or null. */
    RouterState stateOf(String router) {
        return routerStates.get(router);
    }

    /** Accepts snapshot requests from now on without answering them. */
    void stopAnswering() {
        stoppedAnswering = true;
    }

    private synchronized Snapshot awaitSnapshot(SnapshotRequest request) throws WireRefusal {
        try {
            return awaitNewer(request);
        } catch (InterruptedException e) {
            throw new WireRefusal("stopping", "the test is over");
        }
    }

    private Snapshot awaitNewer(SnapshotRequest request) throws InterruptedException {
        routerStates.put(request.getNode(), request.getRouterState());
        while (stoppedAnswering) {
            wait();
        }
        long deadlineNanos = System.nanoTime() + request.getWaitMs() * 1_000_000L;
        boolean followsThisCoordinator = request.getCoordinatorNode().equals(node);
        while ((publishedSnapshot == null || (followsThisCoordinator && request.getKnownSequence() == sequence))
                && System.nanoTime() < deadlineNanos) {
            wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000L));
        }
        return publishedSnapshot == null ? FakeFleet.of().snapshot(node, 0) : publishedSnapshot;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, String> traceHeaders(Object argument) {
        return (Map<String, String>) argument;
    }

    private LoadAnswer load(LoadRequest request, Map<String, String> trace) {
        loadTraces.add(trace);
        loadRequests.add(request);
        return loadAnswers.apply(request);
    }

    @Override
    public void close() {
        server.close();
    }
}
