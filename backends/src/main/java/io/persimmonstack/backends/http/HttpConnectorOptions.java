package io.persimmonstack.backends.http;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Limits of an {@link HttpConnector}.
 *
 * @param ioThreads number of I/O threads
 * @param maxIdlePerTarget maximum number of idle connections kept open to each target
 * @param idleMs time after which an idle connection is closed, in milliseconds
 * @param maxBufferedBytes received bytes of a response that may wait for its reader before reading from the connection
 *     pauses
 * @param bodyMemoryBytes memory that all large bodies together may take while they are read as a whole
 * @param metrics registry in which connections are counted
 * @param tls context of TLS connections, empty for plain HTTP
 */
public record HttpConnectorOptions(
        int ioThreads,
        int maxIdlePerTarget,
        int idleMs,
        int maxBufferedBytes,
        long bodyMemoryBytes,
        MetricRegistry metrics,
        Optional<SSLContext> tls) {
    private static final int DEFAULT_IO_THREADS = 2;
    private static final int DEFAULT_MAX_IDLE_PER_TARGET = 16;
    private static final int DEFAULT_IDLE_MS = 20_000;
    private static final int DEFAULT_MAX_BUFFERED_BYTES = 64 * 1024;
    /** Share of the heap that large bodies may take. */
    private static final double BODY_HEAP_SHARE = 0.25;

    /** Returns the default limits with a new metric registry. */
    public static HttpConnectorOptions defaults() {
        return defaults(new MetricRegistry());
    }

    /** Returns the default limits with the given metric registry. */
    public static HttpConnectorOptions defaults(MetricRegistry metrics) {
        return new HttpConnectorOptions(
                DEFAULT_IO_THREADS,
                DEFAULT_MAX_IDLE_PER_TARGET,
                DEFAULT_IDLE_MS,
                DEFAULT_MAX_BUFFERED_BYTES,
                (long) (BODY_HEAP_SHARE * Runtime.getRuntime().maxMemory()),
                metrics,
                Optional.empty());
    }

    /** Returns a copy with another number of I/O threads. */
    public HttpConnectorOptions withIoThreads(int threads) {
        return new HttpConnectorOptions(
                threads, maxIdlePerTarget, idleMs, maxBufferedBytes, bodyMemoryBytes, metrics, tls);
    }

    /** Returns a copy with another idle time, in milliseconds. */
    public HttpConnectorOptions withIdleMs(int ms) {
        return new HttpConnectorOptions(
                ioThreads, maxIdlePerTarget, ms, maxBufferedBytes, bodyMemoryBytes, metrics, tls);
    }

    /** Returns a copy with another memory for large bodies, in bytes. */
    public HttpConnectorOptions withBodyMemoryBytes(long bytes) {
        return new HttpConnectorOptions(ioThreads, maxIdlePerTarget, idleMs, maxBufferedBytes, bytes, metrics, tls);
    }

    /** Returns a copy that uses TLS on all connections. */
    public HttpConnectorOptions withTls(SSLContext context) {
        return new HttpConnectorOptions(
                ioThreads, maxIdlePerTarget, idleMs, maxBufferedBytes, bodyMemoryBytes, metrics, Optional.of(context));
    }
}
