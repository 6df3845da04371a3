package io.persimmonstack.backends.http;

/**
 * Runs an action once both the exchange of a request and the thread that serves it have ended. The exchange may end
 * first, if the caller leaves, or last, if the caller is slow to take the answer. Thread-safe.
 */
public final class ReceivedRequest {
    private final Runnable action;
    private int open = 1;

    /** Creates a request that is being received; the action runs once it has ended. */
    public ReceivedRequest(Runnable action) {
        this.action = action;
    }

    /** Records that the request is handed to a thread. */
    public synchronized void servingBegins() {
        open++;
    }

    /** Records that the thread has ended. */
    public void servingEnded() {
        oneEnded();
    }

    /** Records that the answer was sent or the connection was closed; called once. */
    public void exchangeEnded() {
        oneEnded();
    }

    private void oneEnded() {
        boolean last;
        synchronized (this) {
            open--;
            last = open == 0;
        }
        if (last) {
            action.run();
        }
    }
}
