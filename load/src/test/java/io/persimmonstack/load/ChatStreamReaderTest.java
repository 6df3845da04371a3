package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

class ChatStreamReaderTest {
    private static final String FIRST_TOKEN_EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"echo:why\"}}]}\n\n";

    private static RequestOutcome read(String stream) throws IOException {
        return ChatStreamReader.of(new ExpectedAnswer("why", 2)).read(new StringReader(stream), System.nanoTime());
    }

    /** A router ends a failed stream with an error event; this is a refusal and not a truncated stream. */
    @Test
    void streamEndingWithAnErrorEventIsARefusal() throws IOException {
        String problem = "event: error\ndata: {\"code\":\"target-failed\",\"ran\":\"unknown\"}\n\n";
        assertEquals(new RequestOutcome.Refused("target-failed", "unknown"), read(FIRST_TOKEN_EVENT + problem));
    }

    /** An engine names its software version as the fingerprint of each event. */
    @Test
    void streamWithEventsOfTwoSoftwareVersionsIsIncorrect() throws IOException {
        String first = FIRST_TOKEN_EVENT.replace("{\"choices\"", "{\"system_fingerprint\":\"a\",\"choices\"");
        String second = "data: {\"system_fingerprint\":\"%s\",\"choices\":[{\"delta\":{\"content\":\" t1\"}}]}\n\n";
        String done = "data: [DONE]\n\n";
        assertEquals(
                new RequestOutcome.Incorrect("the stream has events of software versions a and b"),
                read(first + second.formatted("b") + done));
        assertEquals(
                RequestOutcome.Complete.class,
                read(first + second.formatted("a") + done).getClass());
    }

    @Test
    void streamEndingWithoutDoneIsIncorrect() throws IOException {
        assertEquals(new RequestOutcome.Incorrect("the stream ended without [DONE]"), read(FIRST_TOKEN_EVENT));
    }
}
