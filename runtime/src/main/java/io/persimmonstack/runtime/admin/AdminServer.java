package io.persimmonstack.runtime.admin;

import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.runtime.tls.TlsSettings;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * HTTP server of the admin port: {@code /health}, {@code /ready}, {@code /metrics}, {@code /traces/{id}} and the
 * {@link AdminPages} of the program.
 */
public final class AdminServer implements AutoCloseable {
    private static final String JSON = "application/json";
    private final Undertow server;
    private final Optional<TlsContexts.PortTls> portTls;

    private AdminServer(Undertow server, Optional<TlsContexts.PortTls> portTls) {
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
        Undertow server = TlsContexts.listener(ip, port, portTls)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(handler(context))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new ProgramException("admin port " + ip + ":" + port + " cannot be bound: " + e.getMessage(), e);
        }
        return new AdminServer(server, portTls);
    }

    /** Returns the TCP port that the server listens on; the one chosen by the system if it was started with port 0. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    private static HttpHandler handler(ProgramContext context) {
        MetricsPage metrics = MetricsPage.of(context.metrics());
        return exchange -> {
            String path = exchange.getRequestPath();
            if (path.equals("/health")) {
                send(exchange, StatusCodes.OK, "text/plain", "ok\n");
            } else if (path.equals("/ready")) {
                sendReadiness(exchange, context.readiness());
            } else if (path.equals("/metrics")) {
                send(exchange, StatusCodes.OK, JSON, metrics.json());
            } else if (path.startsWith("/traces/")) {
                String id = path.substring("/traces/".length());
                send(
                        exchange,
                        StatusCodes.OK,
                        JSON,
                        TracePage.json(context.tracing().buffer().trace(id)));
            } else {
                sendPage(exchange, context.pages());
            }
        };
    }

    private static void sendPage(HttpServerExchange exchange, AdminPages pages) {
        Optional<String> page = pages.json(exchange.getRequestPath());
        if (page.isPresent()) {
            send(exchange, StatusCodes.OK, JSON, page.get());
        } else {
            String knownPaths = "known: /health /ready /metrics /traces/{id} " + String.join(" ", pages.prefixes());
            send(exchange, StatusCodes.NOT_FOUND, "text/plain", knownPaths.strip() + "\n");
        }
    }

    private static void sendReadiness(HttpServerExchange exchange, Readiness readiness) {
        if (readiness.isReady()) {
            send(exchange, StatusCodes.OK, "text/plain", "ready\n");
        } else {
            send(exchange, StatusCodes.SERVICE_UNAVAILABLE, "text/plain", readiness.notReadyReason() + "\n");
        }
    }

    private static void send(HttpServerExchange exchange, int status, String type, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body);
    }

    @Override
    public void close() {
        server.stop();
        portTls.ifPresent(TlsContexts.PortTls::close);
    }
}
