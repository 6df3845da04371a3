package io.persimmonstack.node.sending;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Splits an event stream into complete events, so that a partial event is never forwarded. Blank lines and blocks
 * without a field of an event, such as comments, are no events; they are kept for the event that they precede. Not
 * thread-safe.
 */
final class EventReader {
    /** Longest event, with what precedes it. */
    private static final int MAX_EVENT_BYTES = 128 * 1024;

    private static final int BUFFER_BYTES = 4_096;
    private static final String ID_FIELD = "id:";
    /** Names of the fields that an event has at least one of. */
    private static final Set<String> EVENT_FIELDS = Set.of("id", "data", "event", "retry");

    private static final int MAX_FIELD_NAME_BYTES = 5;

    /**
     * Event of a stream.
     *
     * @param bytes the event, including what precedes it and the empty line that ends it
     * @param id number in its id field, empty if it has none
     */
    record StreamEvent(byte[] bytes, OptionalLong id) {}

    private final InputStream body;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int bufferedBytes;

    private EventReader(InputStream body) {
        this.body = body;
    }

    static EventReader of(InputStream body) {
        return new EventReader(body);
    }

    /**
     * Reads the next event, blocking until it is complete. What follows the last event of a stream counts as one more.
     *
     * @return the event, or empty if the stream ended after a complete event
     * @throws IOException if reading fails, the stream ends within an event, or the event is too long
     */
    Optional<StreamEvent> next() throws IOException {
        ByteArrayOutputStream event = new ByteArrayOutputStream();
        Block block = new Block();
        while (position < bufferedBytes || fillBuffer()) {
            byte nextByte = buffer[position++];
            event.write(nextByte);
            if (event.size() > MAX_EVENT_BYTES) {
                throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
            }
            if (block.endsWith(nextByte)) {
                return Optional.of(parseEvent(event.toByteArray()));
            }
        }
        if (block.isOpen()) {
            throw new IOException("stream ended within an event of " + event.size() + " bytes so far");
        }
        return block.hadText() ? Optional.of(parseEvent(event.toByteArray())) : Optional.empty();
    }

    /** Lines up to an empty one, read byte by byte. */
    private static final class Block {
        private final StringBuilder fieldName = new StringBuilder();
        private int lineBytes;
        private boolean nameEnded;
        private boolean open;
        private boolean event;
        private boolean hadText;

        /** Adds a byte and returns whether it ends an event. */
        private boolean endsWith(byte next) {
            if (next == '\n') {
                return endLine();
            }
            if (next != '\r') {
                lineBytes++;
                open = true;
                hadText = true;
                nameEnded |= next == ':';
                if (!nameEnded && fieldName.length() <= MAX_FIELD_NAME_BYTES) {
                    fieldName.append((char) next);
                }
            }
            return false;
        }

        private boolean endLine() {
            boolean emptyLine = lineBytes == 0;
            event |= !emptyLine && EVENT_FIELDS.contains(fieldName.toString());
            open &= !emptyLine;
            lineBytes = 0;
            nameEnded = false;
            fieldName.setLength(0);
            return emptyLine && event;
        }

        /** Returns whether the last block has not been ended by an empty line. */
        private boolean isOpen() {
            return open;
        }

        /** Returns whether there was anything but blank lines. */
        private boolean hadText() {
            return hadText;
        }
    }

    private boolean fillBuffer() throws IOException {
        position = 0;
        bufferedBytes = Math.max(0, body.read(buffer, 0, buffer.length));
        return bufferedBytes > 0;
    }

    private static StreamEvent parseEvent(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        OptionalLong id = text.lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).strip())
                .filter(value -> value.matches("\\d{1,18}"))
                .mapToLong(Long::parseLong)
                .findFirst();
        return new StreamEvent(bytes, id);
    }
}
