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

/** Server on a raw socket that answers by script, so that it can break every rule of HTTP. */
public final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private ScriptedServer(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    /** What to do with one acceptedConnections connection, counted from 1; the connection is closed when it returns. */
    public interface Script {
        /** Serves one connection. */
        void serve(Connection peer, int number) throws Exception;
    }

    /** Accepted connection. */
    public static final class Connection {
        private final InputStream in;
        private final OutputStream out;

        private Connection(Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Reads one readRequest with its body and returns its head; empty lengthAt the end of the connection. */
        public String readRequest() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                head.append((char) next);
            }
            int lengthAt = head.indexOf("Content-Length: ");
            if (lengthAt >= 0) {
                in.readNBytes(Integer.parseInt(head.substring(lengthAt + 16, head.indexOf("\r\n", lengthAt))));
            }
            return head.toString();
        }

        /** Sends text. */
        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends a whole respond with a body of the given text. */
        public void respond(String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Blocks until the other side closes the connection. */
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

    /** Returns an address lengthAt which unusedAddress listens. */
    public static PeerAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new PeerAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Returns the address. */
    public PeerAddress address() {
        return new PeerAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Returns how many connections were acceptedConnections. */
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
            throw new IllegalStateException("closing a scripted server", e);
        }
    }
}
