package io.persimmonstack.node.sending;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/** Splits an event stream into complete events, so that a partial event is never forwarded. Not thread-safe. */
final class EventReader {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int BUFFER_BYTES = 4_096;
    private static final String ID_FIELD = "id:";

    /**
     * Event of a stream.
     *
     * @param bytes the event, including the empty line that ends it
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
     * Reads the next event, blocking until it is complete.
     *
     * @return the event, or empty if the stream ended after a complete event
     * @throws IOException if reading fails, the stream ends within an event, or the event is too long
     */
    Optional<StreamEvent> next() throws IOException {
        ByteArrayOutputStream event = new ByteArrayOutputStream();
        int lineBytes = 0;
        while (position < bufferedBytes || fillBuffer()) {
            byte nextByte = buffer[position++];
            event.write(nextByte);
            if (event.size() > MAX_EVENT_BYTES) {
                throw new IOException("event longer than " + MAX_EVENT_BYTES + " bytes");
            }
            if (nextByte == '\n') {
                if (lineBytes == 0 && !isBlank(event)) {
                    return Optional.of(parseEvent(event.toByteArray()));
                }
                lineBytes = 0;
            } else if (nextByte != '\r') {
                lineBytes++;
            }
        }
        if (!isBlank(event)) {
            throw new IOException("stream ended within an event of " + event.size() + " bytes so far");
        }
        return Optional.empty();
    }

    private boolean fillBuffer() throws IOException {
        position = 0;
        bufferedBytes = Math.max(0, body.read(buffer, 0, buffer.length));
        return bufferedBytes > 0;
    }

    private static boolean isBlank(ByteArrayOutputStream event) {
        return event.size() == 0 || event.toString(StandardCharsets.ISO_8859_1).isBlank();
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
