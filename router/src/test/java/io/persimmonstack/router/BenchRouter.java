package io.persimmonstack.router;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.wire.PeerAddress;
import io.undertow.Undertow;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Router of the benchmark, in its own process, with an HTTP page that shows the process's resource usage. */
final class BenchRouter implements AutoCloseable {
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(5_000, 5_000, 5_000);
    private static final int MAX_PAGE_BYTES = 1_024;
    private static final String RUNNER_NAME = "r1";

    /**
     * Resource usage of a process since its start.
     *
     * @param processorNanos CPU time
     * @param allocatedBytes bytes allocated on the heap
     */
    record Usage(long processorNanos, long allocatedBytes) {
        static Usage ofThisProcess() {
            OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            return new Usage(system.getProcessCpuTime(), threads.getTotalThreadAllocatedBytes());
        }

        static Usage read(HttpConnector connector, PeerAddress usageAddress) throws Exception {
            try (HttpCall call = connector.open(usageAddress, HttpRequest.get("/"), TIMEOUTS)) {
                String[] fields = new String(call.readAll(MAX_PAGE_BYTES), StandardCharsets.UTF_8).split(" ");
                return new Usage(Long.parseLong(fields[0]), Long.parseLong(fields[1]));
            }
        }

        Usage minus(Usage earlier) {
            return new Usage(processorNanos - earlier.processorNanos, allocatedBytes - earlier.allocatedBytes);
        }
    }

    private final RouterFixture fixture;
    private final Undertow usageServer;

    private BenchRouter(RouterFixture fixture, Undertow usageServer) {
        this.fixture = fixture;
        this.usageServer = usageServer;
    }

    static BenchRouter start(String targetAddress) throws Exception {
        RouterFixture fixture = RouterFixture.start(1, ",\"targets\":{\"queueBound\":10000}");
        fixture.publish(fixture.fleet().runner(RUNNER_NAME, targetAddress, "z1", 100_000, false, "deed@v1"));
        Undertow usageServer = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(exchange -> {
                    Usage usage = Usage.ofThisProcess();
                    exchange.getResponseSender().send(usage.processorNanos() + " " + usage.allocatedBytes());
                })
                .build();
        usageServer.start();
        return new BenchRouter(fixture, usageServer);
    }

    /** Returns the address for callers and the address of the usage page, separated by a space. */
    String addresses() {
        InetSocketAddress bound =
                (InetSocketAddress) usageServer.getListenerInfo().get(0).getAddress();
        return fixture.router(0).callersAddress() + " 127.0.0.1:" + bound.getPort();
    }

    @Override
    public void close() {
        usageServer.stop();
        fixture.close();
    }
}
