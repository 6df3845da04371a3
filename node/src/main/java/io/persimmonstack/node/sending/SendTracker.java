package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;

/**
 * Counts how often a request has been sent and keeps the last runner, for the log. Only the thread that serves the
 * request records sends; any thread may read.
 */
public final class SendTracker {
    private volatile int count;
    private volatile String lastRunner = "-";
    private volatile String lastVersion = "-";

    /** Returns the tracker of a request that has not been sent. */
    public static SendTracker create() {
        return new SendTracker();
    }

    private SendTracker() {}

    void recordSend(Runner runner) {
        count++;
        lastRunner = runner.id();
        lastVersion = runner.softwareVersion();
    }

    /** Returns how many times the request has been sent. */
    public int count() {
        return count;
    }

    /** Returns the software version of that runner, "-" if the request was never sent. */
    public String lastVersion() {
        return lastVersion;
    }

    /** Returns the runner that the request was last sent to, "-" if it was never sent. */
    public String lastRunner() {
        return lastRunner;
    }
}
