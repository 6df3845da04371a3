package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads a chat completion that is streamed as server-sent events and checks that it is the complete expected answer,
 * all of it by one software version.
 */
final class ChatStreamReader implements RouterClient.AnswerReader {
    private static final String DATA_PREFIX = "data:";
    private static final String END_OF_STREAM = "[DONE]";
    private static final String ERROR_EVENT_LINE = "event: error";
    /** Field of an event in which an engine names its software version. */
    private static final String FINGERPRINT = "system_fingerprint";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final ExpectedAnswer expected;

    private ChatStreamReader(ExpectedAnswer expected) {
        this.expected = expected;
    }

    static ChatStreamReader of(ExpectedAnswer expected) {
        return new ChatStreamReader(expected);
    }

    @Override
    public RequestOutcome read(HttpCall call, long startNanos) throws IOException {
        return read(new InputStreamReader(call.body(), StandardCharsets.UTF_8), startNanos);
    }

    /** Reads events up to {@code [DONE]}; an error event is a refusal, and a stream that ends early is incorrect. */
    RequestOutcome read(Reader stream, long startNanos) throws IOException {
        long firstByteMs = -1;
        StringBuilder content = new StringBuilder();
        boolean errorEventSeen = false;
        Set<String> softwareVersions = new TreeSet<>();
        BufferedReader lines = new BufferedReader(stream);
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            errorEventSeen |= line.equals(ERROR_EVENT_LINE);
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            String data = line.substring(DATA_PREFIX.length()).strip();
            if (data.equals(END_OF_STREAM)) {
                skipToEnd(lines);
                return softwareVersions.size() > 1
                        ? mixed(softwareVersions)
                        : expected.outcomeOf(content.toString(), firstByteMs);
            }
            firstByteMs = firstByteMs < 0 ? RouterClient.millisSince(startNanos) : firstByteMs;
            JsonNode event = MAPPER.readTree(data);
            if (errorEventSeen) {
                skipToEnd(lines);
                return new RequestOutcome.Refused(
                        event.path("code").asText("none"), event.path("ran").asText("none"));
            }
            if (event.hasNonNull(FINGERPRINT)) {
                softwareVersions.add(event.get(FINGERPRINT).asText());
            }
            content.append(
                    event.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return new RequestOutcome.Incorrect("the stream ended without " + END_OF_STREAM);
    }

    private static RequestOutcome mixed(Set<String> softwareVersions) {
        return new RequestOutcome.Incorrect(
                "the stream has events of software versions " + String.join(" and ", softwareVersions));
    }

    private static void skipToEnd(BufferedReader lines) throws IOException {
        while (lines.readLine() != null) {
            // The connection can be reused only after the body was read to its end.
            continue;
        }
    }
}
