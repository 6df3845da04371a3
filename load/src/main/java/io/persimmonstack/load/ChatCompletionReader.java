package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import java.io.IOException;

/** Reads a chat completion that is not streamed and checks that it is the complete expected answer. */
final class ChatCompletionReader implements RouterClient.AnswerReader {
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final ExpectedAnswer expected;

    private ChatCompletionReader(ExpectedAnswer expected) {
        this.expected = expected;
    }

    static ChatCompletionReader of(ExpectedAnswer expected) {
        return new ChatCompletionReader(expected);
    }

    @Override
    public RequestOutcome read(HttpCall call, long startNanos) throws HttpFailure, IOException {
        long firstByteMs = RouterClient.millisSince(startNanos);
        JsonNode completion = MAPPER.readTree(call.readAll(MAX_ANSWER_BYTES));
        String content = completion
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText("");
        return expected.outcomeOf(content, firstByteMs);
    }
}
