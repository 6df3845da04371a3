package io.persimmonstack.standin.engine;

import io.persimmonstack.standin.engine.EngineApiMessages.ChatMessage;
import io.persimmonstack.standin.engine.EngineApiMessages.ChatRequest;
import io.persimmonstack.standin.engine.EngineApiMessages.Choice;
import io.persimmonstack.standin.engine.EngineApiMessages.Completion;
import io.persimmonstack.standin.engine.EngineApiMessages.Message;
import io.persimmonstack.standin.engine.EngineApiMessages.Usage;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.http.StandinExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Writes chat completions, whole or streamed, at the token rate of the engine. Thread-safe. */
final class ChatCompletionWriter {
    /** Length of an answer whose request sets no {@code max_tokens}. */
    private static final int DEFAULT_TOKENS = 16;

    private static final int MAX_ECHOED_CHARS = 60;
    private static final int OK = 200;
    private static final long MS_PER_SECOND = 1_000;
    private final EngineGroup settings;
    private final FaultInjector faults;
    private final BooleanSupplier engineDead;

    ChatCompletionWriter(EngineGroup settings, FaultInjector faults, BooleanSupplier engineDead) {
        this.settings = settings;
        this.faults = faults;
        this.engineDead = engineDead;
    }

    /** Generated text of a chat request. The tokens depend only on the request, so that a stream can be resumed. */
    record GeneratedAnswer(String requestId, ChatRequest request) {
        String token(int index) {
            return index == 0 ? "echo:" + echoedPrompt() : " t" + index;
        }

        int tokenCount() {
            return request.maxTokens() == null ? DEFAULT_TOKENS : Math.max(1, request.maxTokens());
        }

        private String echoedPrompt() {
            List<ChatMessage> messages = request.messages();
            if (messages == null || messages.isEmpty() || messages.getLast().content() == null) {
                return "";
            }
            String text = messages.getLast().content().asText();
            return text.substring(0, Math.min(MAX_ECHOED_CHARS, text.length()));
        }
    }

    /** Sends the whole answer in one response once all tokens are generated. */
    void writeWhole(StandinExchange exchange, GeneratedAnswer answer) throws IOException, InterruptedException {
        Thread.sleep(settings.prefillMs());
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < answer.tokenCount(); i++) {
            awaitNextToken(exchange);
            text.append(answer.token(i));
            applyResetMidway(i, answer.tokenCount());
        }
        Choice choice = new Choice(0, new Message("assistant", text.toString()), null, "stop");
        Usage usage = new Usage(1, answer.tokenCount(), 1 + answer.tokenCount());
        exchange.respond(OK, completion(answer, "chat.completion", choice, usage));
    }

    /** Streams the answer as server-sent events, starting with the token at the given zero-based index. */
    void writeStream(StandinExchange exchange, GeneratedAnswer answer, int firstToken)
            throws IOException, InterruptedException {
        OutputStream out = exchange.startStream("text/event-stream");
        out.flush();
        Thread.sleep(settings.prefillMs());
        for (int i = firstToken; i < answer.tokenCount(); i++) {
            awaitNextToken(exchange);
            writeEvent(out, completion(answer, new Choice(0, null, new Message(null, answer.token(i)), null)));
            applyResetMidway(i, answer.tokenCount());
        }
        awaitNextToken(exchange);
        writeEvent(out, completion(answer, new Choice(0, null, new Message(null, null), "stop")));
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
        exchange.endStream();
    }

    /** Waits for the time of one token; throws if the connection is silenced or the engine has died. */
    private void awaitNextToken(StandinExchange exchange) throws IOException, InterruptedException {
        Thread.sleep(MS_PER_SECOND / settings.tokensPerSecond());
        faults.failIfSilent(exchange.connection());
        if (engineDead.getAsBoolean()) {
            throw new IOException("the engine is dead by an injected fault or because its host is gone");
        }
    }

    /** Throws after half of the tokens if the fault RESET_MIDWAY applies. */
    private void applyResetMidway(int index, int tokenCount) throws IOException {
        if (index == tokenCount / 2 && faults.trigger(FaultType.RESET_MIDWAY).isPresent()) {
            throw new IOException("response cut off by an injected fault");
        }
    }

    private static void writeEvent(OutputStream out, Completion part) throws IOException {
        out.write("data: ".getBytes(StandardCharsets.UTF_8));
        out.write(StandinExchange.json(part));
        out.write("\n\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private Completion completion(GeneratedAnswer answer, Choice choice) {
        return completion(answer, "chat.completion.chunk", choice, null);
    }

    private Completion completion(GeneratedAnswer answer, String object, Choice choice, Usage usage) {
        String id = "chatcmpl-" + answer.requestId();
        String fingerprint = settings.announcedVersion().orElse(null);
        return new Completion(id, object, 0, answer.request().model(), fingerprint, List.of(choice), usage);
    }
}
