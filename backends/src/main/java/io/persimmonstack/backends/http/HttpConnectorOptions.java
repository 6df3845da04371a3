package io.persimmonstack.backends.http;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import javax.net.ssl.SSLContext;

/**
 * Limits of a connector.
 *
 * @param ioThreads threads that move bytes
 * @param maxIdlePerTarget connections kept open without work for each target
 * @param idleMs time after which a connection without work is closed, in milliseconds
 * @param maxBufferedBytes bytes of an answer held for a slow reader before the connection is read no further
 * @param metrics registry of the program
 * @param tls context of connections with TLS, plain HTTP where absent
 */
public record HttpConnectorOptions(
        int ioThreads,
        int maxIdlePerTarget,
        int idleMs,
        int maxBufferedBytes,
        MetricRegistry metrics,
        Optional<SSLContext> tls) {
    private static final int DEFAULT_IO_THREADS = 2;
    private static final int DEFAULT_MAX_IDLE_PER_TARGET = 16;
    private static final int DEFAULT_IDLE_MS = 20_000;
    private static final int DEFAULT_MAX_BUFFERED_BYTES = 64 * 1024;

    /** Returns the usual limits with a registry of their own. */
    public static HttpConnectorOptions defaults() {
        return defaults(new MetricRegistry());
    }

    /** Returns the usual limits, counting in the given registry. */
    public static HttpConnectorOptions defaults(MetricRegistry metrics) {
        return new HttpConnectorOptions(
                DEFAULT_IO_THREADS, DEFAULT_MAX_IDLE_PER_TARGET, DEFAULT_IDLE_MS, DEFAULT_MAX_BUFFERED_BYTES, metrics, Optional.empty());
    }

    /** Returns these limits with another number of threads. */
    public HttpConnectorOptions withIoThreads(int threads) {
        return new HttpConnectorOptions(threads, maxIdlePerTarget, idleMs, maxBufferedBytes, metrics, tls);
    }

    /** Returns these limits with another idle time in milliseconds. */
    public HttpConnectorOptions withIdleMs(int ms) {
        return new HttpConnectorOptions(ioThreads, maxIdlePerTarget, ms, maxBufferedBytes, metrics, tls);
    }

    /** Returns these limits with TLS on all connections. */
    public HttpConnectorOptions withTls(SSLContext context) {
        return new HttpConnectorOptions(
                ioThreads, maxIdlePerTarget, idleMs, maxBufferedBytes, metrics, Optional.of(context));
    }
}
