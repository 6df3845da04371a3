package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.node.streams.StreamOrigin;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks before sends on connections to a listening port; the start of the process behind it is made up. */
@Timeout(60)
class SendCheckTest {
    private static final long STARTED_MS = 1_700_000_000_000L;
    private static final long LATER_START_MS = STARTED_MS + 1_000;
    private static final int LONG_LIMIT_MS = 30_000;
    private static final int SHORT_LIMIT_MS = 200;

    private final FleetView fleet = FleetView.create();
    private final HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults());
    private ServerSocket port;

    @BeforeEach
    void listen() throws IOException {
        port = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        list(runner());
    }

    @AfterEach
    void close() throws IOException {
        connector.close();
        port.close();
    }

    private Runner runner() {
        PeerAddress address = PeerAddress.parse("127.0.0.1:" + port.getLocalPort());
        return new Runner("e1", STARTED_MS, "v1", "s", address, "z-a", 4, false, List.of(), Set.of(), Set.of());
    }

    private void list(Runner runner) {
        fleet.update(now -> now.withRunners(Map.of(runner.id(), runner), 1));
    }

    private SendPermit check(ActiveRequest request, ProcessCheck processes) {
        SendCheck check = SendCheck.of(fleet, RunnerConnections.of(connector, processes));
        try (OriginRecorder origin = OriginRecorder.of(new NoOrigins(), fleet, request)) {
            SendPermit permit = check.check(runner(), request, origin);
            permit.connection().ifPresent(RunnerConnection::close);
            return permit;
        }
    }

    /** Failure: an answer that could not be read left its connection to the stream, whose answer came after it. */
    @Test
    void connectionWithoutAUsableAnswerIsNotUsedFurther() {
        List<IdleConnection> asked = new ArrayList<>();
        ActiveRequest request = Requests.resumableStream(System.nanoTime(), LONG_LIMIT_MS);
        SendPermit permit = check(request, (runner, connection, timeoutMs) -> {
            asked.add(connection);
            throw new ProcessUnknownException("e1: unreadable", null);
        });
        assertInstanceOf(SendPermit.Unidentified.class, permit);
        assertFalse(asked.getFirst().isOpen());
    }

    /** Directory for streams that are not looked up. */
    private static final class NoOrigins implements OriginDirectory {
        @Override
        public KeptOrigin keep(String request, StreamOrigin origin, long validMs) {
            return () -> {};
        }

        @Override
        public Optional<StreamOrigin> find(String request) {
            return Optional.empty();
        }
    }

    private static ActiveRequest restOf(ActiveRequest request) {
        return new ActiveRequest(
                request.callerRequest(),
                request.route(),
                request.service(),
                Optional.of(new StreamOrigin("s", "v1")),
                request.receivedNanos());
    }

    /** Failure: a runner whose entry told that it leaves, while its process was asked, was sent the stream. */
    @Test
    void runnerThatBeginsToLeaveDuringTheCheckGetsNothing() {
        ActiveRequest request = Requests.resumableStream(System.nanoTime(), LONG_LIMIT_MS);
        SendPermit permit = check(request, (runner, connection, timeoutMs) -> {
            list(runner.asLeaving());
            return STARTED_MS;
        });
        assertInstanceOf(SendPermit.Withheld.class, permit);
    }

    /** Failure: the same for a runner whose entry was removed. */
    @Test
    void runnerThatIsGoneAfterTheCheckGetsNothing() {
        ActiveRequest request = Requests.resumableStream(System.nanoTime(), LONG_LIMIT_MS);
        SendPermit permit = check(request, (runner, connection, timeoutMs) -> {
            fleet.update(now -> now.withRunners(Map.of(), 2));
            return STARTED_MS;
        });
        assertInstanceOf(SendPermit.Withheld.class, permit);
    }

    /** Failure: the process was awaited for longer than the caller waits for the answer. */
    @Test
    void processIsNotAwaitedBeyondTheDeadline() {
        List<Integer> timeouts = new ArrayList<>();
        check(restOf(Requests.resumableStream(System.nanoTime(), SHORT_LIMIT_MS)), (runner, connection, timeoutMs) -> {
            timeouts.add(timeoutMs);
            return STARTED_MS;
        });
        assertEquals(1, timeouts.size());
        assertTrue(timeouts.getFirst() <= SHORT_LIMIT_MS, "timeout of " + timeouts.getFirst() + " ms");
    }

    /** Failure: on a route whose streams may not be resumed any more, any process was sent the rest of a stream. */
    @Test
    void restOfAStreamIsNotSentToAnotherProcessOnAnyRoute() {
        ActiveRequest request = restOf(Requests.forModel("m1", System.nanoTime()));
        SendPermit permit = check(request, (runner, connection, timeoutMs) -> LATER_START_MS);
        assertInstanceOf(SendPermit.Withheld.class, permit);
    }
}
