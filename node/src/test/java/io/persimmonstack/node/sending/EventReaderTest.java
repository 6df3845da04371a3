package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class EventReaderTest {
    private static final int MAX_READ_BYTES = 256 * 1024;

    private static EventReader reader(String text) {
        return EventReader.of(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void readsWholeEventsWithTheirIds() throws IOException {
        EventReader reader = reader("id: 1\ndata: a\n\nx-note: 3\nid: 2\ndata: b\n\n");
        EventReader.StreamEvent first = reader.next().orElseThrow();
        assertEquals(OptionalLong.of(1), first.id());
        assertArrayEquals("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8), first.bytes());
        assertEquals(OptionalLong.of(2), reader.next().orElseThrow().id());
        assertTrue(reader.next().isEmpty());
    }

    @Test
    void preservesCarriageReturns() throws IOException {
        assertArrayEquals(
                "id: 1\r\ndata: a\r\n\r\n".getBytes(StandardCharsets.UTF_8),
                reader("id: 1\r\ndata: a\r\n\r\n").next().orElseThrow().bytes());
    }

    @Test
    void failsWhenTheStreamEndsWithinAnEvent() throws IOException {
        EventReader reader = reader("id: 1\ndata: a\n\nid: 2\nda");
        reader.next();
        assertThrows(IOException.class, reader::next);
    }

    @Test
    void readsEventWithoutId() throws IOException {
        assertEquals(
                OptionalLong.empty(),
                reader("data: [DONE]\n\n").next().orElseThrow().id());
    }

    /** Comments and blank lines are no events: a caller that hears only those must count as waiting. */
    @Test
    void blocksWithoutAFieldOfAnEventPrecedeTheNextEvent() throws IOException {
        String text = "\n: comment\n\nnote: x\n\n\nid: 1\ndata: a\n\n";
        EventReader reader = reader(text);
        assertArrayEquals(
                text.getBytes(StandardCharsets.UTF_8),
                reader.next().orElseThrow().bytes());
        assertTrue(reader.next().isEmpty());
    }

    @Test
    void commentAfterTheLastEventIsKept() throws IOException {
        EventReader reader = reader("id: 1\ndata: a\n\n: end\n\n");
        reader.next();
        assertArrayEquals(
                ": end\n\n".getBytes(StandardCharsets.UTF_8),
                reader.next().orElseThrow().bytes());
        assertTrue(reader.next().isEmpty());
    }

    static Stream<Arguments> endlessStreams() {
        return Stream.of(
                Arguments.of("blank lines", "\n"),
                Arguments.of("blank lines with carriage returns", "\r\n"),
                Arguments.of("carriage returns", "\r"),
                Arguments.of("comments", ":\n"),
                Arguments.of("blocks of comments", ": c\n\n"),
                Arguments.of("data lines", "data: x\n"),
                Arguments.of("bytes without a line end", "x"),
                Arguments.of("binary zeros", "\u0000"));
    }

    /** The work is linear in the bytes: blank lines used to be scanned from their first one at each line end. */
    @Timeout(10)
    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessStreams")
    void endlessStreamWithoutAnEventFails(String name, String piece) {
        EndlessStream endless = new EndlessStream(piece.getBytes(StandardCharsets.UTF_8));
        assertThrows(IOException.class, EventReader.of(endless)::next);
        assertTrue(endless.readBytes <= MAX_READ_BYTES, endless.readBytes + " bytes were read");
    }

    /** Repeats a text without end. */
    private static final class EndlessStream extends InputStream {
        private final byte[] piece;
        private int readBytes;

        private EndlessStream(byte[] piece) {
            this.piece = piece;
        }

        @Override
        public int read() {
            return piece[readBytes++ % piece.length];
        }
    }
}
