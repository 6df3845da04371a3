package io.persimmonstack.coordination.crowd;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Clients outside the limits of one listener, each with its own connection and thread. */
public final class Crowd implements AutoCloseable {
    /** Pause before a client whose connection was closed connects again. */
    private static final long RECONNECT_PAUSE_MS = 20;

    /** Time after which a client gives up on an answer. */
    private static final int ANSWER_TIMEOUT_MS = 20_000;

    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /** What a client sends on a connection. */
    public interface Input {
        /** Writes until the input is complete or the connection is closed. */
        void write(OutputStream out) throws IOException, InterruptedException;
    }

    private Crowd(int port) {
        this.port = port;
    }

    /** Starts clients that send endless input and connect again when their connection is closed. */
    public static Crowd startEndless(int clients, int port, byte[] start, byte[] repeated) {
        return startEndless(clients, port, start, out -> out.write(repeated));
    }

    private static Crowd startEndless(int clients, int port, byte[] start, Input repeated) {
        Crowd crowd = new Crowd(port);
        crowd.start(clients, () -> {
            while (!crowd.closed) {
                crowd.send(out -> {
                    out.write(start);
                    while (!crowd.closed) {
                        repeated.write(out);
                    }
                });
                Thread.sleep(RECONNECT_PAUSE_MS);
            }
        });
        return crowd;
    }

    /**
     * Starts clients that send endless input in pieces and connect again when their connection is closed.
     *
     * @param clients number of clients
     * @param port port of the listener
     * @param start first bytes on each connection
     * @param piece sent again and again after that
     * @param pauseMs pause after each piece, in milliseconds
     */
    public static Crowd startDripping(int clients, int port, byte[] start, byte[] piece, long pauseMs) {
        return startEndless(clients, port, start, out -> {
            out.write(piece);
            Thread.sleep(pauseMs);
        });
    }

    /** Starts clients that send an input once and then keep their connection open in silence. */
    public static Crowd startOnce(int clients, int port, Input input) {
        Crowd crowd = new Crowd(port);
        crowd.start(clients, () -> crowd.send(input));
        return crowd;
    }

    /**
     * Starts clients that each send a number of requests, one after the other and each on a new connection, and wait
     * for the end of every answer.
     *
     * @param clients number of clients
     * @param port port of the listener
     * @param requests number of requests of each client
     * @param input writes a request that asks for the connection to be closed
     */
    public static Crowd startRepeating(int clients, int port, int requests, Input input) {
        Crowd crowd = new Crowd(port);
        crowd.start(clients, () -> {
            for (int sent = 0; sent < requests && !crowd.closed; sent++) {
                crowd.exchange(input);
            }
        });
        return crowd;
    }

    private interface Client {
        void run() throws InterruptedException;
    }

    private void start(int clients, Client client) {
        for (int i = 0; i < clients; i++) {
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    client.run();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
    }

    /** Sends an input; the connection stays open if it was sent to the end. */
    private void send(Input input) throws InterruptedException {
        Socket socket = null;
        try {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            sockets.add(socket);
            input.write(socket.getOutputStream());
        } catch (IOException e) {
            closeSocket(socket);
        }
    }

    /**
     * Sends requests, each on a connection of its own that is closed at once.
     *
     * @param requests number of requests
     * @param port port of the listener
     * @param input writes a request
     */
    public static void sendAndLeave(int requests, int port, Input input) throws IOException, InterruptedException {
        for (int sent = 0; sent < requests; sent++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                input.write(socket.getOutputStream());
            }
        }
    }

    /** Sends a request on a new connection and reads until that is closed. */
    private void exchange(Input input) throws InterruptedException {
        Socket socket = null;
        try {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            sockets.add(socket);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            input.write(socket.getOutputStream());
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // Refused, closed or too slow; the next request follows.
            Thread.sleep(RECONNECT_PAUSE_MS);
        } finally {
            closeSocket(socket);
        }
    }

    private void closeSocket(Socket socket) {
        if (socket != null) {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Waits until each client has sent its input or is held up, but no longer than the given time. */
    public void awaitSent(long maxMs) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs);
        for (Thread thread : threads) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (leftMs > 0) {
                thread.join(leftMs);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
        sockets.forEach(this::closeSocket);
    }
}
