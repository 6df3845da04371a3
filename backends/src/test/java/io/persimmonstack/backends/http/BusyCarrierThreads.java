package io.persimmonstack.backends.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/** Occupies every carrier of virtual threads, as heavy load does. */
final class BusyCarrierThreads implements AutoCloseable {
    private final AtomicBoolean stopped = new AtomicBoolean();

    private BusyCarrierThreads() {}

    static BusyCarrierThreads start() throws InterruptedException {
        BusyCarrierThreads threads = new BusyCarrierThreads();
        int carriers = Runtime.getRuntime().availableProcessors();
        CountDownLatch started = new CountDownLatch(carriers);
        for (int i = 0; i < carriers; i++) {
            Thread.ofVirtual().start(() -> threads.spin(started));
        }
        started.await();
        return threads;
    }

    private void spin(CountDownLatch started) {
        started.countDown();
        while (!stopped.get()) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        stopped.set(true);
    }
}
