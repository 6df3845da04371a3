package io.persimmonstack.backends.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Cuts answers whose head grows without end; Undertow's client bounds the number of equal fields and not the length of
 * one. Runs on a platform thread, since busy virtual threads would hold it up.
 */
final class HeadGuard implements AutoCloseable {
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private final Set<ExchangeDriver> awaiting = ConcurrentHashMap.newKeySet();
    private final Thread thread =
            Thread.ofPlatform().daemon().name("http-head-guard").unstarted(this::run);
    private volatile boolean closed;

    private HeadGuard() {}

    static HeadGuard start() {
        HeadGuard guard = new HeadGuard();
        guard.thread.start();
        return guard;
    }

    void add(ExchangeDriver driver) {
        awaiting.add(driver);
        LockSupport.unpark(thread);
    }

    void remove(ExchangeDriver driver) {
        awaiting.remove(driver);
    }

    private void run() {
        while (!closed) {
            if (awaiting.isEmpty()) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, CHECK_NANOS);
                awaiting.forEach(ExchangeDriver::checkHead);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
