package io.persimmonstack.backends.http;

import io.undertow.client.ClientResponse;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Response in transit from the I/O thread to the reading thread. Reading from the connection pauses while the buffer
 * holds its capacity, in bytes or in parts, and resumes once it is at most half full. Thread-safe.
 */
final class ResponseBuffer {
    /** Most parts that wait for their reader. Each costs memory besides its bytes, however small it is. */
    private static final int MAX_PARTS = 512;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
    private final int capacityBytes;
    private int bufferedBytes;
    private boolean paused;
    private boolean complete;
    private ClientResponse head;
    private boolean headTaken;
    private HttpFailure failure;

    private ResponseBuffer(int capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    static ResponseBuffer ofCapacity(int capacityBytes) {
        return new ResponseBuffer(capacityBytes);
    }

    /** Part of the body, or the end of the body. */
    sealed interface Part {
        /**
         * Bytes of the body. If {@code resumeReading} is set, the receiver has to resume reading from the connection.
         */
        record Bytes(byte[] content, boolean resumeReading) implements Part {}

        /** End of the body; all of it has arrived. */
        record End() implements Part {}
    }

    /** Stores the response head and wakes the thread that waits for it. */
    void setHead(ClientResponse response) {
        updateAndSignal(() -> head = response);
    }

    /** Adds a part of the body. Returns whether more may be read from the connection. */
    boolean offer(byte[] chunk) {
        lock.lock();
        try {
            chunks.add(chunk);
            bufferedBytes += chunk.length;
            paused = bufferedBytes >= capacityBytes || chunks.size() >= MAX_PARTS;
            stateChanged.signalAll();
            return !paused;
        } finally {
            lock.unlock();
        }
    }

    /** Marks the body as completely received. */
    void complete() {
        updateAndSignal(() -> complete = true);
    }

    /**
     * Records a failure unless another failure was recorded or the response was complete. Returns whether it was
     * recorded.
     */
    boolean fail(HttpFailure cause) {
        lock.lock();
        try {
            if (failure != null || complete) {
                return false;
            }
            failure = cause;
            stateChanged.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Records a failure unless the head has arrived. Returns whether it was recorded. */
    boolean failBeforeHead(HttpFailure cause) {
        lock.lock();
        try {
            return head == null && fail(cause);
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the response head; empty after a timeout. */
    Optional<ClientResponse> awaitHead(int timeoutMs) throws HttpFailure, InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (head == null && failure == null && remainingNanos > 0) {
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
            }
            if (head == null && failure != null) {
                throw failure;
            }
            headTaken = head != null;
            return Optional.ofNullable(head);
        } finally {
            lock.unlock();
        }
    }

    /** Waits for the next part of the body; empty after a timeout. */
    Optional<Part> awaitPart(int timeoutMs) throws HttpFailure, InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (chunks.isEmpty() && !complete && failure == null && remainingNanos > 0) {
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
            }
            return pollPart();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether nothing has arrived that the reading thread has not taken yet, not even a failure. */
    boolean isEmpty() {
        lock.lock();
        try {
            return chunks.isEmpty() && !complete && failure == null && (head == null || headTaken);
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the body has been received and read completely. */
    boolean isDrained() {
        lock.lock();
        try {
            return complete && chunks.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether reading from the connection is paused. */
    boolean isPaused() {
        lock.lock();
        try {
            return paused;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of bytes of the body that have not been read yet. */
    int bufferedBytes() {
        lock.lock();
        try {
            return bufferedBytes;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Part> pollPart() throws HttpFailure {
        byte[] chunk = chunks.poll();
        if (chunk != null) {
            bufferedBytes -= chunk.length;
            boolean resume = paused && bufferedBytes <= capacityBytes / 2 && chunks.size() <= MAX_PARTS / 2;
            paused = paused && !resume;
            return Optional.of(new Part.Bytes(chunk, resume));
        }
        if (failure != null) {
            throw failure;
        }
        return complete ? Optional.of(new Part.End()) : Optional.empty();
    }

    private void updateAndSignal(Runnable change) {
        lock.lock();
        try {
            change.run();
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
