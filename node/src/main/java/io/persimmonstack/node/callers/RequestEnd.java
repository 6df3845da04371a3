package io.persimmonstack.node.callers;

/**
 * Runs an action once both the exchange of a request and the thread that serves it have ended. The exchange may end
 * first, if the caller leaves, or last, if the caller is slow to take the answer. Thread-safe.
 */
final class RequestEnd {
    private final Runnable action;
    private int open = 1;

    RequestEnd(Runnable action) {
        this.action = action;
    }

    /** Records that the request is handed to a thread. */
    synchronized void servingBegins() {
        open++;
    }

    /** Records that the thread has ended. */
    void servingEnded() {
        oneEnded();
    }

    /** Records that the answer was sent or the connection was closed; called once. */
    void exchangeEnded() {
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
