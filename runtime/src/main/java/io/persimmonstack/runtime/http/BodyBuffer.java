package io.persimmonstack.runtime.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Bytes of a body that is being received, in memory that was reserved before. Not thread-safe. */
abstract sealed class BodyBuffer {
    /** Bytes that are read at a time. The JDK copies through a direct buffer of this size. */
    private static final int READ_BYTES = 16 * 1024;

    private int count;

    /** Returns a buffer for a body of known length, whose bytes are reserved already. */
    static BodyBuffer ofLength(int length) {
        return new OfLength(length);
    }

    /** Returns a buffer for a body of unknown length; the memory is reserved in blocks. */
    static BodyBuffer growing() {
        return new Growing();
    }

    /** Returns the number of received bytes. */
    int count() {
        return count;
    }

    /** Records that bytes were read into the last room. */
    void added(int bytes) {
        count += bytes;
    }

    /** Returns where the next bytes are to be read, empty if there is no memory for them. */
    abstract Optional<ByteBuffer> room(ReceiveMemory.Reservation reservation);

    /** Returns the body. */
    abstract byte[] toBytes(ReceiveMemory.Reservation reservation);

    private static final class OfLength extends BodyBuffer {
        private static final ByteBuffer END = ByteBuffer.allocate(1);
        private final byte[] bytes;

        private OfLength(int length) {
            this.bytes = new byte[length];
        }

        @Override
        Optional<ByteBuffer> room(ReceiveMemory.Reservation reservation) {
            int left = bytes.length - count();
            // Room for a byte after the last one, so that the end is read, which is before that byte.
            return Optional.of(
                    left == 0 ? END.duplicate() : ByteBuffer.wrap(bytes, count(), Math.min(left, READ_BYTES)));
        }

        @Override
        byte[] toBytes(ReceiveMemory.Reservation reservation) {
            return bytes;
        }
    }

    private static final class Growing extends BodyBuffer {
        /** Copies of a block that exist at a time: the block, and its part of the whole body. */
        private static final int COPIES = 2;

        private static final int FIRST_BLOCK_BYTES = 1024;
        private final List<byte[]> blocks = new ArrayList<>();
        private int blockStart;
        private int capacity;

        @Override
        Optional<ByteBuffer> room(ReceiveMemory.Reservation reservation) {
            if (count() == capacity) {
                int size = Math.clamp(capacity, FIRST_BLOCK_BYTES, READ_BYTES);
                if (!reservation.tryAdd((long) COPIES * size)) {
                    return Optional.empty();
                }
                blocks.add(new byte[size]);
                blockStart = capacity;
                capacity += size;
            }
            int used = count() - blockStart;
            return Optional.of(ByteBuffer.wrap(blocks.getLast(), used, capacity - count()));
        }

        @Override
        byte[] toBytes(ReceiveMemory.Reservation reservation) {
            byte[] whole = new byte[count()];
            int position = 0;
            for (byte[] block : blocks) {
                int length = Math.min(block.length, whole.length - position);
                System.arraycopy(block, 0, whole, position, length);
                position += length;
            }
            blocks.clear();
            reservation.giveBack((long) COPIES * capacity - whole.length);
            return whole;
        }
    }
}
