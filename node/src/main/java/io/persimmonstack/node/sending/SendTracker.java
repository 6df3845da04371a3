package io.persimmonstack.node.sending;

/** How often a request has been sent, and where last; read when its end is logged. */
public final class SendTracker {
    private volatile int count;
    private volatile String lastRunner = "-";

    /** Returns a request that has not been sent. */
    public static SendTracker create() {
        return new SendTracker();
    }

    private SendTracker() {}

    void recordSend(String runner) {
        count++;
        lastRunner = runner;
    }

    /** Returns how often the request has been sent. */
    public int count() {
        return count;
    }

    /** Returns the runner that it was sent to last, "-" for create. */
    public String lastRunner() {
        return lastRunner;
    }
}
