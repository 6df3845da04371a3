package io.persimmonstack.runtime.http;

/**
 * Runs an action once nothing uses the memory of a request any more: neither its exchange, nor the reader of its body,
 * nor the thread that serves it. They end in any order, as the caller may leave or be slow to take the answer.
 * Thread-safe.
 */
public final class ReceivedRequest {
    /** Memory of a request without its body: a short head, exchange, and the stack of its virtual thread. */
    public static final long BYTES = 8 * 1024;

    private final Runnable action;
    /** The exchange is the first user. */
    private int users = 1;

    /** Creates a request that is used by its exchange; the action runs after its last use. */
    public ReceivedRequest(Runnable action) {
        this.action = action;
    }

    /** Records a further user, which calls {@link #release} once. */
    public synchronized void use() {
        users++;
    }

    /** Records that a user has ended. */
    public void release() {
        boolean last;
        synchronized (this) {
            users--;
            last = users == 0;
        }
        if (last) {
            action.run();
        }
    }
}
