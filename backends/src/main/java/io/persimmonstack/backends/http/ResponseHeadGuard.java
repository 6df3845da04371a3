package io.persimmonstack.backends.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Cuts answers whose head grows without end; Undertow's client bounds the number of equal fields and not the length of
 * one. Runs on a platform thread, since busy virtual threads would hold it up.
 */
final class ResponseHeadGuard implements AutoCloseable {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private final Set<ExchangeDriver> awaitingHead = ConcurrentHashMap.newKeySet();
    private final Thread thread =
            Thread.ofPlatform().daemon().name("http-head-guard").unstarted(this::run);
    private volatile boolean closed;

    private ResponseHeadGuard() {}

    static ResponseHeadGuard start() {
        ResponseHeadGuard guard = new ResponseHeadGuard();
        guard.thread.start();
        return guard;
    }

    void add(ExchangeDriver driver) {
        awaitingHead.add(driver);
        LockSupport.unpark(thread);
    }

    void remove(ExchangeDriver driver) {
        awaitingHead.remove(driver);
    }

    private void run() {
        while (!closed) {
            if (awaitingHead.isEmpty()) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, CHECK_INTERVAL_NANOS);
                awaitingHead.forEach(ExchangeDriver::enforceHeadLimit);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
