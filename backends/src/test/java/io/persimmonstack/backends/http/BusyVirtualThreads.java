package io.persimmonstack.backends.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/** Occupies every carrier of virtual threads, as heavy load does. */
final class BusyVirtualThreads implements AutoCloseable {
    private final AtomicBoolean stopped = new AtomicBoolean();

    private BusyVirtualThreads() {}

    static BusyVirtualThreads start() throws InterruptedException {
        BusyVirtualThreads busy = new BusyVirtualThreads();
        int carriers = Runtime.getRuntime().availableProcessors();
        CountDownLatch running = new CountDownLatch(carriers);
        for (int i = 0; i < carriers; i++) {
            Thread.ofVirtual().start(() -> busy.spin(running));
        }
        running.await();
        return busy;
    }

    private void spin(CountDownLatch running) {
        running.countDown();
        while (!stopped.get()) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        stopped.set(true);
    }
}
