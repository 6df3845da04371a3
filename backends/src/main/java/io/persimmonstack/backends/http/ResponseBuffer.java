package io.persimmonstack.backends.http;

import io.undertow.client.ClientResponse;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Answer on its way from the I/O thread to the reading thread, bounded in bufferedBytes. */
final class ResponseBuffer {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
    private final int capacityBytes;
    private int bufferedBytes;
    private boolean paused;
    private boolean complete;
    private ClientResponse head;
    private HttpFailure failure;

    private ResponseBuffer(int capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    static ResponseBuffer ofCapacity(int capacityBytes) {
        return new ResponseBuffer(capacityBytes);
    }

    /** Part of the body, or its end. */
    sealed interface Part {
        /** Bytes of the body; {@code resumeReading} tells the reader to restart a paused connection. */
        record Bytes(byte[] content, boolean resumeReading) implements Part {}

        /** The body is complete. */
        record End() implements Part {}
    }

    void setHead(ClientResponse response) {
        updateAndSignal(() -> head = response);
    }

    /** Adds a part and returns whether the connection may be read further. */
    boolean offer(byte[] chunk) {
        lock.lock();
        try {
            chunks.add(chunk);
            bufferedBytes += chunk.length;
            paused = bufferedBytes >= capacityBytes;
            stateChanged.signalAll();
            return !paused;
        } finally {
            lock.unlock();
        }
    }

    void complete() {
        updateAndSignal(() -> complete = true);
    }

    /** Records the first failure; returns whether this one was the first and the answer was not complete. */
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
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
            while (head == null && failure == null && remainingNanos > 0) {
                remainingNanos = stateChanged.awaitNanos(remainingNanos);
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

    /** Returns whether the whole answer has been taken or is known to have no more parts. */
    boolean isDrained() {
        lock.lock();
        try {
            return complete && chunks.isEmpty();
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
            return bufferedBytes;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Part> pollPart() throws HttpFailure {
        byte[] chunk = chunks.poll();
        if (chunk != null) {
            bufferedBytes -= chunk.length;
            boolean resume = paused && bufferedBytes <= capacityBytes / 2;
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
