package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;
import java.util.concurrent.atomic.AtomicBoolean;

/** Slot that one request occupies at a runner; {@link #close} releases it. */
public final class Placement implements AutoCloseable {
    private final Runner runner;
    private final long tokensToRead;
    private final Runnable release;
    private final AtomicBoolean closed = new AtomicBoolean();

    Placement(Runner runner, long tokensToRead, Runnable release) {
        this.runner = runner;
        this.tokensToRead = tokensToRead;
        this.release = release;
    }

    /** Returns the runner to send the request to. */
    public Runner runner() {
        return runner;
    }

    /** Returns how much of the prompt the runner probably has to read, in tokens. */
    public long tokensToRead() {
        return tokensToRead;
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            release.run();
        }
    }
}
