package io.persimmonstack.router.filter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.router.request.AttemptException;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of server-sent events and of the chat completion chunks in them. */
class SseReaderTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 4_096})
    void eventsDoNotDependOnHowTheBytesAreSplit(int chunkBytes) throws Exception {
        String stream = ": ping\r\n\r\n\nevent: x\ndata: {\"choices\":[{\"delta\":{\"content\":\"Grüße\"}}]}\r\n\r\n"
                + "data:{\"choices\":[{\"delta\":{},\n"
                + "data: \"finish_reason\":\"stop\"}]}\n\n"
                + "data: [DONE]\n\n";
        List<String> events = new ArrayList<>();
        SseReader reader = SseReader.of(inChunks(stream, chunkBytes));
        for (Optional<SseReader.StreamEvent> event = reader.next(); event.isPresent(); event = reader.next()) {
            SseReader.StreamEvent streamEvent = event.get();
            events.add(streamEvent.tokens() + " " + streamEvent.hasFinishReason() + " " + streamEvent.last() + " "
                    + new String(streamEvent.bytes(), StandardCharsets.UTF_8));
        }
        assertEquals(
                List.of(
                        "1 false false event: x\ndata: {\"choices\":[{\"delta\":{\"content\":\"Grüße\"}}]}\n\n",
                        "0 true false data:{\"choices\":[{\"delta\":{},\ndata: \"finish_reason\":\"stop\"}]}\n\n",
                        "0 false true data: [DONE]\n\n"),
                events);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | 0",
                "[] | 0",
                "{\"choices\":[]} | 0",
                "{\"choices\":[{\"delta\":{\"content\":\"\"}}]} | 0",
                "{\"choices\":[{\"delta\":{\"content\":null}}]} | 0",
                "{\"id\":{\"choices\":[1]},\"choices\":[{\"index\":0,\"delta\":{\"x\":[],\"content\":\"a\"}},{}]} | 1",
            })
    void countsTokensOfTheFirstChoiceOnly(String data, int tokens) throws Exception {
        assertEquals(
                tokens,
                SseReader.of(inChunks("data: " + data + "\n\n", 64))
                        .next()
                        .orElseThrow()
                        .tokens());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{not json", "{\"choices\":[{\"delta\":{\"content\":\"a\"}", "{\"choices\":["})
    void malformedJsonFailsTheAttempt(String data) {
        SseReader reader = SseReader.of(inChunks("data: " + data + "\n\n", 64));
        assertThrows(AttemptException.class, reader::next);
    }

    private static InputStream inChunks(String text, int bytes) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)) {
            @Override
            public synchronized int read(byte[] target, int offset, int length) {
                return super.read(target, offset, Math.min(length, bytes));
            }
        };
    }
}
