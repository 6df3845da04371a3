package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpFailure;
import java.io.IOException;

/** Reads a chat completion that is not streamed and checks that it is whole and the request's own. */
final class WholeChatReader implements Caller.Reader {
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final AnswerCheck check;

    private WholeChatReader(AnswerCheck check) {
        this.check = check;
    }

    static WholeChatReader of(AnswerCheck check) {
        return new WholeChatReader(check);
    }

    @Override
    public Outcome read(HttpCall call, long startNanos) throws HttpFailure, IOException {
        long firstByteMs = Caller.millisSince(startNanos);
        JsonNode completion = MAPPER.readTree(call.readAll(MAX_ANSWER_BYTES));
        String content = completion
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText("");
        return check.check(content, firstByteMs);
    }
}
