package io.persimmonstack.backends.http;

import io.persimmonstack.wire.PeerAddress;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP server on a raw socket that responds as a script says, so that tests can make it violate the protocol. */
public final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private ScriptedServer(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    /** Handles accepted connections. */
    public interface Script {
        /**
         * Handles one connection, which is closed when this method returns.
         *
         * @param connection accepted connection
         * @param number number of the connection, counted from 1
         */
        void serve(Connection connection, int number) throws Exception;
    }

    /** Accepted connection of a client. */
    public static final class Connection {
        private final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Reads one request with its body and returns its head; empty if the client closed the connection. */
        public String readRequest() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                head.append((char) next);
            }
            int headerStart = head.indexOf("Content-Length: ");
            if (headerStart >= 0) {
                in.readNBytes(Integer.parseInt(head.substring(headerStart + 16, head.indexOf("\r\n", headerStart))));
            }
            return head.toString();
        }

        /** Sends text as it is, in ISO 8859-1. */
        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends a complete response with status 200 and the given body. */
        public void respond(String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Resets the connection, which discards what the client has not read. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Blocks until the client closes the connection. */
        public void awaitClose() throws IOException {
            while (in.read() >= 0) {
                continue;
            }
        }
    }

    /** Starts a server on a free port of 127.0.0.1. */
    public static ScriptedServer start(Script script) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        ScriptedServer server = new ScriptedServer(listener, script);
        Thread.ofPlatform().daemon().start(server::acceptConnections);
        return server;
    }

    /** Returns an address of 127.0.0.1 at which no server listens. */
    public static PeerAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new PeerAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Returns the address of the server. */
    public PeerAddress address() {
        return new PeerAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the number of connections accepted so far. */
    public int acceptedConnections() {
        return acceptedConnections.get();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                int number = acceptedConnections.incrementAndGet();
                Thread.ofPlatform().daemon().start(() -> serve(socket, number));
            }
        } catch (IOException e) {
            close();
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            script.serve(new Connection(socket), number);
        } catch (Exception e) {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("could not close the scripted server", e);
        }
    }
}
