package io.persimmonstack.router.filter;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.persimmonstack.router.request.AttemptException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Reads server-sent events from an engine's answer, so that only complete events are relayed. */
final class SseReader {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int READ_BUFFER_BYTES = 1_024;
    private static final int INITIAL_EVENT_BYTES = 256;
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE_MARKER = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    /**
     * One event of the stream.
     *
     * @param bytes the event without carriage returns, including the empty line that ends it
     * @param tokens number of tokens that it contains, 0 or 1
     * @param hasFinishReason whether it gives the reason why the answer is complete
     * @param last whether it is the [DONE] event, which ends the stream
     */
    record StreamEvent(byte[] bytes, int tokens, boolean hasFinishReason, boolean last) {}

    private final InputStream body;
    private final byte[] readBuffer = new byte[READ_BUFFER_BYTES];
    private int readPosition;
    private int readLimit;
    private byte[] eventBytes = new byte[INITIAL_EVENT_BYTES];
    private int eventLength;
    private byte[] data = new byte[INITIAL_EVENT_BYTES];
    private int dataLength;

    private SseReader(InputStream body) {
        this.body = body;
    }

    static SseReader of(InputStream body) {
        return new SseReader(body);
    }

    /**
     * Reads the next event that has data; blocks until it is complete.
     *
     * @return the event, empty at the end of the stream
     * @throws IOException if the connection fails
     * @throws AttemptException if the event is too long or not JSON
     */
    Optional<StreamEvent> next() throws IOException, AttemptException {
        eventLength = 0;
        dataLength = 0;
        int lineStart = 0;
        while (readPosition < readLimit || fill()) {
            byte nextByte = readBuffer[readPosition++];
            if (nextByte == '\r') {
                continue;
            }
            append(nextByte);
            if (nextByte != '\n') {
                continue;
            }
            boolean emptyLine = eventLength - 1 == lineStart;
            if (emptyLine && dataLength > 0) {
                return Optional.of(parseEvent());
            }
            appendData(lineStart);
            lineStart = emptyLine ? 0 : eventLength;
            eventLength = lineStart;
        }
        return Optional.empty();
    }

    /** Refills the read buffer; returns false at the end of the stream. */
    private boolean fill() throws IOException {
        readPosition = 0;
        readLimit = Math.max(0, body.read(readBuffer, 0, readBuffer.length));
        return readLimit > 0;
    }

    private void append(byte nextByte) throws AttemptException {
        if (eventLength == MAX_EVENT_BYTES) {
            throw broken("event longer than " + MAX_EVENT_BYTES + " bytes", null);
        }
        if (eventLength == eventBytes.length) {
            eventBytes = Arrays.copyOf(eventBytes, eventBytes.length * 2);
        }
        eventBytes[eventLength++] = nextByte;
    }

    /** Appends the trimmed value of the last line to the data of the event if the line is a data field. */
    private void appendData(int lineStart) {
        int dataStart = lineStart + DATA_FIELD.length;
        int dataEnd = eventLength - 1;
        if (dataEnd < dataStart || !Arrays.equals(eventBytes, lineStart, dataStart, DATA_FIELD, 0, DATA_FIELD.length)) {
            return;
        }
        while (dataStart < dataEnd && eventBytes[dataStart] <= ' ') {
            dataStart++;
        }
        while (dataEnd > dataStart && eventBytes[dataEnd - 1] <= ' ') {
            dataEnd--;
        }
        if (dataLength + dataEnd - dataStart > data.length) {
            data = Arrays.copyOf(data, Math.max(dataLength + dataEnd - dataStart, data.length * 2));
        }
        System.arraycopy(eventBytes, dataStart, data, dataLength, dataEnd - dataStart);
        dataLength += dataEnd - dataStart;
    }

    private StreamEvent parseEvent() throws IOException, AttemptException {
        byte[] bytes = Arrays.copyOf(eventBytes, eventLength);
        if (Arrays.equals(data, 0, dataLength, DONE_MARKER, 0, DONE_MARKER.length)) {
            return new StreamEvent(bytes, 0, false, true);
        }
        try {
            DeltaParser chunk = DeltaParser.parse(data, dataLength);
            return new StreamEvent(bytes, chunk.hasContent() ? 1 : 0, chunk.hasFinishReason(), false);
        } catch (JsonProcessingException e) {
            throw broken("event is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static AttemptException broken(String message, Throwable cause) {
        return new AttemptException(AttemptException.Kind.BROKEN, "stream of the engine: " + message, cause);
    }
}
