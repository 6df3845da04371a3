package io.persimmonstack.standin.http;

import io.persimmonstack.runtime.ProgramException;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.xnio.IoUtils;

/** HTTP server that listens on several ports and dispatches each to its own handler. */
public final class StandinServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private final Map<Integer, StandinHandler> handlers = new ConcurrentHashMap<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Undertow undertow;

    private StandinServer(String ip, List<StandinPort> ports) {
        Undertow.Builder builder = Undertow.builder()
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(1)
                .setHandler(exchange -> exchange.dispatch(executor, this::serve));
        ports.forEach(port -> builder.addHttpListener(port.port(), ip));
        undertow = builder.build();
    }

    /**
     * Binds all ports and starts the server.
     *
     * @param ip IP address to bind to
     * @param ports ports and their handlers
     * @return the running server
     * @throws ProgramException if a port cannot be bound
     */
    public static StandinServer start(String ip, List<StandinPort> ports) throws ProgramException {
        StandinServer server = new StandinServer(ip, ports);
        try {
            server.undertow.start();
        } catch (RuntimeException e) {
            server.executor.shutdownNow();
            throw new ProgramException("stand-in ports on " + ip + " cannot be bound: " + e.getMessage(), e);
        }
        for (int i = 0; i < ports.size(); i++) {
            server.handlers.put(server.port(i), ports.get(i).handler());
        }
        return server;
    }

    /** Returns the TCP port that the entry at the given index of the port list was bound to. */
    public int port(int index) {
        return ((InetSocketAddress) undertow.getListenerInfo().get(index).getAddress()).getPort();
    }

    private void serve(HttpServerExchange exchange) {
        int port = exchange.getConnection()
                .getLocalAddress(InetSocketAddress.class)
                .getPort();
        StandinHandler handler = handlers.get(port);
        try {
            exchange.startBlocking();
            handler.handle(new StandinExchange(exchange));
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        undertow.stop();
    }
}
