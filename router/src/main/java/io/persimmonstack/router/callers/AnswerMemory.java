package io.persimmonstack.router.callers;

import io.persimmonstack.runtime.http.ReceiveMemory;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Memory of answers that slow readers have not taken. If it is exhausted, the reader that has waited longest is
 * disconnected. Thread-safe.
 */
public final class AnswerMemory {
    /** Part of the heap; the memory of requests is a quarter of it. */
    private static final int HEAP_DIVISOR = 8;

    private final ReceiveMemory memory;
    private final Deque<Held> oldestFirst = new ArrayDeque<>();

    private AnswerMemory(ReceiveMemory memory) {
        this.memory = memory;
    }

    /** Returns a memory of an eighth of the process's largest heap. */
    public static AnswerMemory ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Returns a memory of the given size, in bytes. */
    public static AnswerMemory ofBytes(long bytes) {
        return new AnswerMemory(ReceiveMemory.ofBytes(bytes));
    }

    /** Returns the bytes that slow readers have not taken. */
    public long usedBytes() {
        return memory.usedBytes();
    }

    /**
     * Counts a part of an answer that its reader has not taken yet. Other readers are disconnected if there is no
     * memory.
     *
     * @param bytes size of the part and of what waits behind it
     * @param disconnect closes the connection of this reader if another one needs the memory later; must not block
     * @return the memory, to be closed when the reader has taken the part or was disconnected
     */
    Held hold(long bytes, Runnable disconnect) {
        Held held = new Held(memory.open(), disconnect);
        while (!held.reservation.tryAdd(bytes)) {
            Optional<Held> oldest = pollOldest();
            if (oldest.isEmpty()) {
                // Others have taken their parts meanwhile, or this part alone is larger than the memory for large ones.
                held.close();
                disconnect.run();
                return held;
            }
            oldest.get().disconnect.run();
            oldest.get().close();
        }
        synchronized (oldestFirst) {
            oldestFirst.addLast(held);
        }
        return held;
    }

    private Optional<Held> pollOldest() {
        synchronized (oldestFirst) {
            return Optional.ofNullable(oldestFirst.pollFirst());
        }
    }

    /** Memory of one part of an answer. */
    final class Held implements AutoCloseable {
        private final ReceiveMemory.Reservation reservation;
        private final Runnable disconnect;

        private Held(ReceiveMemory.Reservation reservation, Runnable disconnect) {
            this.reservation = reservation;
            this.disconnect = disconnect;
        }

        @Override
        public void close() {
            reservation.close();
            synchronized (oldestFirst) {
                oldestFirst.remove(this);
            }
        }
    }
}
