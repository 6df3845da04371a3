package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventReaderTest {
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
}
