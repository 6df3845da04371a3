package io.persimmonstack.node.callers;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.util.HashMap;
import java.util.Map;

/** HTTP server with one I/O thread that listens on several addresses, each of which has its own handler. */
public final class HttpListeners implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final long MAX_BODY_BYTES = 8L << 20;
    private static final int MAX_HEADERS = 200;
    private static final int REQUEST_PARSE_TIMEOUT_MS = 15_000;
    private static final int IDLE_TIMEOUT_MS = 60_000;
    private static final int BUFFER_BYTES = 4 * 1024;
    private static final int NOT_FOUND = 404;
    private final Undertow server;

    private HttpListeners(Undertow server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param handlers handler of each address; ports must be distinct
     * @return the running server
     * @throws ProgramException if an address cannot be bound
     */
    public static HttpListeners start(Map<PeerAddress, HttpHandler> handlers) throws ProgramException {
        Map<Integer, HttpHandler> handlersByPort = new HashMap<>();
        Undertow.Builder builder = Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(false)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false);
        handlers.forEach((address, handler) -> {
            handlersByPort.put(address.port(), handler);
            builder.addHttpListener(address.port(), address.ip());
        });
        Undertow server = builder.setHandler(Handlers.httpContinueRead(routeByPort(handlersByPort)))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new ProgramException("listen " + handlers.keySet() + ": cannot be bound: " + e.getMessage(), e);
        }
        return new HttpListeners(server);
    }

    private static HttpHandler routeByPort(Map<Integer, HttpHandler> handlersByPort) {
        return exchange -> {
            HttpHandler handler =
                    handlersByPort.get(exchange.getDestinationAddress().getPort());
            if (handler == null) {
                exchange.setStatusCode(NOT_FOUND);
                exchange.endExchange();
            } else {
                handler.handleRequest(exchange);
            }
        };
    }

    @Override
    public void close() {
        server.stop();
    }
}
