package io.persimmonstack.runtime.http;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioWorker;

/** Stops the I/O threads of a server. */
public final class WorkerShutdown {
    private static final long TIMEOUT_MS = 5_000;

    private WorkerShutdown() {}

    /** Stops a worker, and interrupts its threads if they do not end in time. */
    public static void stop(XnioWorker worker) {
        worker.shutdown();
        try {
            if (!worker.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                worker.shutdownNow();
            }
        } catch (InterruptedException e) {
            worker.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
