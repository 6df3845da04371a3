package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;

/** Reads a streamed chat completion and checks that it is whole and the request's own. */
final class ChatReader implements Caller.Reader {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final String ERROR_EVENT = "event: error";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final AnswerCheck check;

    private ChatReader(AnswerCheck check) {
        this.check = check;
    }

    static ChatReader of(AnswerCheck check) {
        return new ChatReader(check);
    }

    @Override
    public Outcome read(HttpCall call, long startNanos) throws IOException {
        return read(new InputStreamReader(call.body(), StandardCharsets.UTF_8), startNanos);
    }

    Outcome read(Reader stream, long startNanos) throws IOException {
        long firstByteMs = -1;
        StringBuilder content = new StringBuilder();
        boolean failed = false;
        BufferedReader lines = new BufferedReader(stream);
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            failed |= line.equals(ERROR_EVENT);
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals(DONE)) {
                drain(lines);
                return check.check(content.toString(), firstByteMs);
            }
            firstByteMs = firstByteMs < 0 ? Caller.millisSince(startNanos) : firstByteMs;
            JsonNode delta = MAPPER.readTree(data);
            if (failed) {
                drain(lines);
                return new Outcome.Refused(
                        delta.path("code").asText("none"), delta.path("ran").asText("none"));
            }
            content.append(
                    delta.path("choices").path(0).path("delta").path("content").asText(""));
        }
        return new Outcome.Wrong("the stream ended without " + DONE);
    }

    private static void drain(BufferedReader lines) throws IOException {
        while (lines.readLine() != null) {
            // The connection can be used again only after the end of the body.
            continue;
        }
    }
}
