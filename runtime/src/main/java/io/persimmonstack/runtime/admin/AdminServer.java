package io.persimmonstack.runtime.admin;

import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.http.BodilessHandler;
import io.persimmonstack.runtime.http.GuardedServer;
import io.persimmonstack.runtime.http.GuardedServerOptions;
import io.persimmonstack.runtime.http.InputLimits;
import io.persimmonstack.runtime.http.InputRefusal;
import io.persimmonstack.runtime.http.ReceiveMemory;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.runtime.tls.TlsSettings;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * HTTP server of the admin port: {@code /health}, {@code /ready}, {@code /metrics}, {@code /traces/{id}} and the
 * {@link AdminPages} of the program. Bounds what its clients send, hold and leave unread, as the ports of callers do.
 */
public final class AdminServer implements AutoCloseable {
    private static final String JSON = "application/json";
    /** Part of the heap per connection; operators and monitors have few. */
    private static final int HEAP_BYTES_PER_CONNECTION = 256 * 1024;

    private static final int MAX_HEADERS = 100;
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final int HEADER_TIMEOUT_MS = 10_000;
    private static final int IDLE_TIMEOUT_MS = 60_000;
    /** Longest time for which a client may leave an answer untaken, in milliseconds. */
    private static final int ANSWER_TIMEOUT_MS = 10_000;
    /** Parts of the heap that heads and answers may fill, each. */
    private static final int HEAP_DIVISOR = 16;

    private final GuardedServer server;
    private final Optional<TlsContexts.PortTls> portTls;

    private AdminServer(GuardedServer server, Optional<TlsContexts.PortTls> portTls) {
        this.server = server;
        this.portTls = portTls;
    }

    /**
     * Starts an admin server with plain HTTP.
     *
     * @param ip IP address to listen on
     * @param port TCP port, 0 for any free port
     * @param context metrics, readiness, traces and pages to serve
     * @return the running server
     * @throws ProgramException if the port cannot be bound
     */
    public static AdminServer start(String ip, int port, ProgramContext context) throws ProgramException {
        return start(ip, port, Optional.empty(), context);
    }

    /**
     * Starts an admin server.
     *
     * @param ip IP address to listen on
     * @param port TCP port, 0 for any free port
     * @param tls TLS settings of the port, empty for plain HTTP
     * @param context metrics, readiness, traces and pages to serve
     * @return the running server
     * @throws ProgramException if the port cannot be bound or its key store cannot be read
     */
    public static AdminServer start(String ip, int port, Optional<TlsSettings> tls, ProgramContext context)
            throws ProgramException {
        Optional<TlsContexts.PortTls> portTls = TlsContexts.ofPort(tls);
        Consumer<InputRefusal> onRefusal = refusal ->
                context.metrics().counter("admin.refused." + refusal.reason()).inc();
        try {
            GuardedServer server = GuardedServer.start(
                    new InetSocketAddress(ip, port),
                    portTls.map(TlsContexts.PortTls::context),
                    options(onRefusal),
                    BodilessHandler.before(handler(context), onRefusal));
            return new AdminServer(server, portTls);
        } catch (IOException e) {
            portTls.ifPresent(TlsContexts.PortTls::close);
            throw new ProgramException("admin port " + ip + ":" + port + " cannot be bound: " + e.getMessage(), e);
        }
    }

    private static GuardedServerOptions options(Consumer<InputRefusal> onRefusal) {
        InputLimits limits = new InputLimits(MAX_HEADER_BYTES, 1, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS);
        return new GuardedServerOptions(
                1,
                GuardedServerOptions.connectionsOfHeap(HEAP_BYTES_PER_CONNECTION),
                MAX_HEADERS,
                () -> limits,
                ReceiveMemory.ofBytes(partOfHeap()),
                onRefusal,
                OptionalInt.of(ANSWER_TIMEOUT_MS));
    }

    private static long partOfHeap() {
        return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    }

    /** Returns the TCP port that the server listens on; the one chosen by the system if it was started with port 0. */
    public int port() {
        return server.port();
    }

    private static HttpHandler handler(ProgramContext context) {
        MetricsPage metrics = MetricsPage.of(context.metrics());
        AdminAnswers answers = AdminAnswers.within(partOfHeap());
        return exchange -> {
            String path = exchange.getRequestPath();
            if (path.equals("/health")) {
                answers.send(exchange, StatusCodes.OK, "text/plain", "ok\n");
            } else if (path.equals("/ready")) {
                sendReadiness(exchange, context.readiness(), answers);
            } else if (path.equals("/metrics")) {
                answers.send(exchange, StatusCodes.OK, JSON, metrics.json());
            } else if (path.startsWith("/traces/")) {
                String id = path.substring("/traces/".length());
                answers.send(
                        exchange,
                        StatusCodes.OK,
                        JSON,
                        TracePage.json(context.tracing().buffer().trace(id)));
            } else {
                sendPage(exchange, context.pages(), answers);
            }
        };
    }

    private static void sendPage(HttpServerExchange exchange, AdminPages pages, AdminAnswers answers) {
        Optional<String> page = pages.json(exchange.getRequestPath());
        if (page.isPresent()) {
            answers.send(exchange, StatusCodes.OK, JSON, page.get());
        } else {
            String knownPaths = "known: /health /ready /metrics /traces/{id} " + String.join(" ", pages.prefixes());
            answers.send(exchange, StatusCodes.NOT_FOUND, "text/plain", knownPaths.strip() + "\n");
        }
    }

    private static void sendReadiness(HttpServerExchange exchange, Readiness readiness, AdminAnswers answers) {
        if (readiness.isReady()) {
            answers.send(exchange, StatusCodes.OK, "text/plain", "ready\n");
        } else {
            answers.send(exchange, StatusCodes.SERVICE_UNAVAILABLE, "text/plain", readiness.notReadyReason() + "\n");
        }
    }

    @Override
    public void close() {
        server.close();
        portTls.ifPresent(TlsContexts.PortTls::close);
    }
}
