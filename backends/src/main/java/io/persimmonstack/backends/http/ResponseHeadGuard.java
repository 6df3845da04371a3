package io.persimmonstack.backends.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Fails exchanges whose response head exceeds the size limit. Undertow's client limits the number of header fields with
 * the same name but not the length of a single field, so an endless field would never end the wait for the head. Runs
 * on a platform thread because busy virtual threads would delay it.
 */
final class ResponseHeadGuard implements AutoCloseable {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private final Set<ExchangeDriver> awaitingHead = ConcurrentHashMap.newKeySet();
    private final Thread thread =
            Thread.ofPlatform().daemon().name("http-head-guard").unstarted(this::run);
    private volatile boolean closed;

    private ResponseHeadGuard() {}

    /** Returns a guard with a running thread. */
    static ResponseHeadGuard start() {
        ResponseHeadGuard guard = new ResponseHeadGuard();
        guard.thread.start();
        return guard;
    }

    /** Starts checking an exchange that waits for its response head. */
    void add(ExchangeDriver driver) {
        awaitingHead.add(driver);
        LockSupport.unpark(thread);
    }

    /** Stops checking an exchange. */
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
