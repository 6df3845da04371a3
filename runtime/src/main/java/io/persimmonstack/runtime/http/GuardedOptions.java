package io.persimmonstack.runtime.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Options of Undertow and XNIO that all guarded listeners have in common. */
public final class GuardedOptions {
    /** Interval at which connections are checked for being overdue, in milliseconds; small against the timeouts. */
    public static final int CHECK_INTERVAL_MS = 250;

    private static final int BUFFER_BYTES = 4 * 1024;
    private static final int BACKLOG = 1_000;
    /** Connections over the bound of an I/O thread below which accepting goes on; it pauses at twice as many. */
    private static final int ACCEPTED_AT_ONCE = 8;

    /** Undertow's own limit, above those that the guards apply. */
    private static final int MAX_HEAD_BYTES = 2 << 20;

    private GuardedOptions() {}

    /** Returns the XNIO implementation. */
    public static Xnio xnio() {
        return Xnio.getInstance(Undertow.class.getClassLoader());
    }

    /**
     * Starts the I/O threads of a server.
     *
     * @throws IOException if they cannot be started
     */
    public static XnioWorker startWorker(int ioThreads) throws IOException {
        return xnio().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
    }

    /** Returns an HTTP/1.1 listener whose requests may have the given number of headers. */
    public static HttpOpenListener httpListener(int maxHeaders) {
        return new HttpOpenListener(
                new DefaultByteBufferPool(false, BUFFER_BYTES),
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, (long) Integer.MAX_VALUE)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, maxHeaders)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .set(UndertowOptions.DECODE_URL, false)
                        .getMap());
    }

    /**
     * Returns the options of a listening socket. Accepting pauses above the bound, so that it goes on while the guards
     * have as many connections as they may.
     *
     * @param ioThreads number of I/O threads
     * @param maxConnections most connections of each
     */
    public static OptionMap socket(int ioThreads, int maxConnections) {
        return OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, ioThreads * (maxConnections + 2 * ACCEPTED_AT_ONCE))
                .set(Options.CONNECTION_LOW_WATER, ioThreads * (maxConnections + ACCEPTED_AT_ONCE))
                .getMap();
    }
}
