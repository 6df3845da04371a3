package io.persimmonstack.backends.http;

import io.persimmonstack.runtime.http.FramingException;
import java.nio.ByteBuffer;

/**
 * Framing of one body in chunks, with its trailers. Stricter than Undertow's reader, which takes a line without a size
 * for the last chunk, so that a body that was cut would look complete.
 */
final class ChunkedFraming implements MessageFraming {
    /** Most hexadecimal digits of a size, so that it fits in a long. */
    private static final int MAX_SIZE_DIGITS = 15;

    private static final int BITS_PER_DIGIT = 4;
    private static final int HEX = 16;
    /**
     * Bytes of sizes, extensions and trailers that a request may have beyond those of its data. A body of up to 10,000
     * chunks of one byte stays below.
     */
    private static final int MAX_REQUEST_OVERHEAD_BYTES = 64 * 1024;

    private final long maxOverheadBytes;
    private long overheadBytes;
    private long dataBytes;
    private State state = State.SIZE;
    private int sizeDigits;
    private long remaining;

    private enum State {
        SIZE,
        SIZE_PADDING,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER_START,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_END,
        BODY_END,
        COMPLETE
    }

    private ChunkedFraming(long maxOverheadBytes) {
        this.maxOverheadBytes = maxOverheadBytes;
    }

    /** Returns the framing of a body of which nothing has been received. */
    static ChunkedFraming begin() {
        return new ChunkedFraming(Long.MAX_VALUE);
    }

    /** Returns the framing of a body from a client, whose sizes, extensions and trailers are bounded in sum. */
    static ChunkedFraming beginBounded() {
        return new ChunkedFraming(MAX_REQUEST_OVERHEAD_BYTES);
    }

    /** Returns whether the body has ended with its last chunk and its trailers. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Checks the next bytes up to the end of the body; bytes after it are left in the buffer. */
    @Override
    public void consume(ByteBuffer bytes) throws FramingException {
        while (bytes.hasRemaining() && !isComplete()) {
            if (state == State.DATA) {
                skipData(bytes);
            } else {
                state = next(bytes.get(bytes.position()) & 0xff);
                bytes.get();
                countOverhead();
            }
        }
    }

    private void countOverhead() throws FramingException {
        overheadBytes++;
        if (overheadBytes > maxOverheadBytes && overheadBytes - maxOverheadBytes > dataBytes) {
            throw new FramingException(
                    "chunks: " + overheadBytes + " bytes of framing for " + dataBytes + " bytes of data");
        }
    }

    private void skipData(ByteBuffer bytes) {
        int count = (int) Math.min(remaining, bytes.remaining());
        bytes.position(bytes.position() + count);
        remaining -= count;
        dataBytes += count;
        if (remaining == 0) {
            state = State.DATA_CR;
        }
    }

    private State next(int value) throws FramingException {
        return switch (state) {
            case SIZE -> sizeByte(value);
            case SIZE_PADDING -> isBlank(value) ? State.SIZE_PADDING : afterSize(value);
            case EXTENSION -> textOrCr(value, State.EXTENSION, State.SIZE_END, "chunk extension");
            case SIZE_END -> afterSizeLine(value);
            case DATA_CR -> expect(value, '\r', State.DATA_LF, "end of a chunk");
            case DATA_LF -> expect(value, '\n', startOfSize(), "end of a chunk");
            case TRAILER_START -> value == '\r' ? State.BODY_END : trailerName(value);
            case TRAILER_NAME -> value == ':' ? State.TRAILER_VALUE : trailerName(value);
            case TRAILER_VALUE -> textOrCr(value, State.TRAILER_VALUE, State.TRAILER_END, "trailer");
            case TRAILER_END -> expect(value, '\n', State.TRAILER_START, "trailer");
            case BODY_END -> expect(value, '\n', State.COMPLETE, "end of the body");
            case DATA, COMPLETE -> throw new IllegalStateException("no framing byte is due: " + state);
        };
    }

    private State startOfSize() {
        sizeDigits = 0;
        return State.SIZE;
    }

    private State sizeByte(int value) throws FramingException {
        int digit = value < 0x80 ? Character.digit(value, HEX) : -1;
        if (digit < 0 && sizeDigits > 0) {
            return afterSize(value);
        }
        if (digit < 0 || sizeDigits == MAX_SIZE_DIGITS) {
            String expected = "a chunk size of 1 to " + MAX_SIZE_DIGITS + " hexadecimal digits";
            throw FramingException.unexpectedByte("chunk size", value, expected);
        }
        remaining = (sizeDigits == 0 ? 0 : remaining << BITS_PER_DIGIT) + digit;
        sizeDigits++;
        return State.SIZE;
    }

    private State afterSize(int value) throws FramingException {
        if (isBlank(value)) {
            return State.SIZE_PADDING;
        }
        return value == ';' ? State.EXTENSION : expect(value, '\r', State.SIZE_END, "chunk size");
    }

    private State afterSizeLine(int value) throws FramingException {
        return expect(value, '\n', remaining == 0 ? State.TRAILER_START : State.DATA, "chunk size");
    }

    private static State trailerName(int value) throws FramingException {
        if (value <= ' ' || value >= 0x7f || value == ':') {
            throw FramingException.unexpectedByte("trailer", value, "a field name, or the end of the body");
        }
        return State.TRAILER_NAME;
    }

    private static State textOrCr(int value, State same, State afterCr, String place) throws FramingException {
        if (value == '\n' || value == 0) {
            throw FramingException.unexpectedByte(place, value, "text that ends with CR LF");
        }
        return value == '\r' ? afterCr : same;
    }

    private static State expect(int value, char expected, State following, String place) throws FramingException {
        if (value != expected) {
            throw FramingException.unexpectedByte(place, value, expected == '\r' ? "CR" : "LF");
        }
        return following;
    }

    private static boolean isBlank(int value) {
        return value == ' ' || value == '\t';
    }
}
