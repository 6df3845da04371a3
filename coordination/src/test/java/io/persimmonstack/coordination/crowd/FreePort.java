package io.persimmonstack.coordination.crowd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Ports for the processes of tests. */
public final class FreePort {
    private static final int FIRST_PORT = 20_000;
    /** First port that the system uses for outgoing connections, of which a crowd opens thousands. */
    private static final int END_PORT = 32_768;

    private FreePort() {}

    /** Returns a free port below the range of the system for outgoing connections, so that none takes it meanwhile. */
    public static int find() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", port));
            return true;
        } catch (IOException e) {
            // In use; another one is tried.
            return false;
        }
    }
}
