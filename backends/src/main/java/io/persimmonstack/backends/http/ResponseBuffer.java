package io.persimmonstack.backends.http;

import io.undertow.client.ClientResponse;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Answer on its way from the I/O thread to the reading thread, bounded in bytes. */
final class ResponseBuffer {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
    private final int maxBytes;
    private int bytes;
    private boolean paused;
    private boolean ended;
    private ClientResponse head;
    private HttpFailure failure;

    private ResponseBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    static ResponseBuffer ofBytes(int maxBytes) {
        return new ResponseBuffer(maxBytes);
    }

    /** Part of the body, or its end. */
    sealed interface Part {
        /** Bytes of the body; {@code resume} tells the reader to restart a paused connection. */
        record Bytes(byte[] content, boolean resume) implements Part {}

        /** The body is complete. */
        record End() implements Part {}
    }

    void headArrived(ClientResponse response) {
        update(() -> head = response);
    }

    /** Adds a part and returns whether the connection may be read further. */
    boolean offer(byte[] chunk) {
        lock.lock();
        try {
            chunks.add(chunk);
            bytes += chunk.length;
            paused = bytes >= maxBytes;
            changed.signalAll();
            return !paused;
        } finally {
            lock.unlock();
        }
    }

    void end() {
        update(() -> ended = true);
    }

    /** Records the first failure; returns whether this one was the first and the answer was not complete. */
    boolean fail(HttpFailure cause) {
        lock.lock();
        try {
            if (failure != null || ended) {
                return false;
            }
            failure = cause;
            changed.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Records a failure unless the head has arrived; returns whether it was recorded. */
    boolean failBeforeHead(HttpFailure cause) {
        lock.lock();
        try {
            return head == null && fail(cause);
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the head of the answer; empty when the time is over. */
    Optional<ClientResponse> awaitHead(int timeoutMs) throws HttpFailure, InterruptedException {
        lock.lock();
        try {
            long leftNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (head == null && failure == null && leftNanos > 0) {
                leftNanos = changed.awaitNanos(leftNanos);
            }
            if (head == null && failure != null) {
                throw failure;
            }
            return Optional.ofNullable(head);
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the next part of the body; empty when the time is over. */
    Optional<Part> take(int timeoutMs) throws HttpFailure, InterruptedException {
        lock.lock();
        try {
            long leftNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (chunks.isEmpty() && !ended && failure == null && leftNanos > 0) {
                leftNanos = changed.awaitNanos(leftNanos);
            }
            return poll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the whole answer has been taken or is known to have no more parts. */
    boolean isDrained() {
        lock.lock();
        try {
            return ended && chunks.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    boolean isPaused() {
        lock.lock();
        try {
            return paused;
        } finally {
            lock.unlock();
        }
    }

    int bufferedBytes() {
        lock.lock();
        try {
            return bytes;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Part> poll() throws HttpFailure {
        byte[] chunk = chunks.poll();
        if (chunk != null) {
            bytes -= chunk.length;
            boolean resume = paused && bytes <= maxBytes / 2;
            paused = paused && !resume;
            return Optional.of(new Part.Bytes(chunk, resume));
        }
        if (failure != null) {
            throw failure;
        }
        return ended ? Optional.of(new Part.End()) : Optional.empty();
    }

    private void update(Runnable change) {
        lock.lock();
        try {
            change.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
