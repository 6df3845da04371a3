package io.persimmonstack.backends.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/** Keeps every carrier thread of the virtual threads busy until it is closed, to simulate heavy load. */
final class BusyCarrierThreads implements AutoCloseable {
    private final AtomicBoolean stopped = new AtomicBoolean();

    private BusyCarrierThreads() {}

    /** Starts one spinning virtual thread per processor and waits until all of them run. */
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
