package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;
import java.util.concurrent.atomic.AtomicBoolean;

/** Place of one request at a runner, held until closed. */
public final class Placement implements AutoCloseable {
    private final Runner runner;
    private final Runnable release;
    private final AtomicBoolean closed = new AtomicBoolean();

    Placement(Runner runner, Runnable release) {
        this.runner = runner;
        this.release = release;
    }

    /** Returns the runner that the request goes to. */
    public Runner runner() {
        return runner;
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            release.run();
        }
    }
}
