package io.persimmonstack.router.request;

import java.util.List;

/**
 * JSON body of a chat completion request, read in one pass without a tree, which would take many times the size of the
 * body. Immutable.
 */
public final class ChatBody {
    private final byte[] body;
    private final JsonSpan modelText;
    private final ModelName model;
    private final boolean stream;
    private final long prefixHash;
    private final List<String> promptParts;

    /**
     * Creates a body from what was read of it.
     *
     * @param body JSON in UTF-8
     * @param modelText the name of the model in it, with its quotes
     * @param model the same name
     * @param stream whether the caller requested a streamed answer
     * @param prefixHash hash of the start of the prompt
     * @param promptParts identifiers of the messages
     */
    ChatBody(
            byte[] body,
            JsonSpan modelText,
            ModelName model,
            boolean stream,
            long prefixHash,
            List<String> promptParts) {
        this.body = body;
        this.modelText = modelText;
        this.model = model;
        this.stream = stream;
        this.prefixHash = prefixHash;
        this.promptParts = List.copyOf(promptParts);
    }

    /**
     * Reads and checks the body of a chat completion request.
     *
     * @param body JSON in UTF-8
     * @return what the router needs of it
     * @throws RefusalException if the body is not a JSON object, or one of {@code model}, {@code messages} and
     *     {@code stream} is not of the expected form or comes twice
     */
    public static ChatBody parse(byte[] body) throws RefusalException {
        return ChatBodyReader.read(body);
    }

    /** Returns the model name that the caller sent. */
    public ModelName model() {
        return model;
    }

    /** Returns whether the caller requested a streamed answer. */
    public boolean stream() {
        return stream;
    }

    /**
     * Returns the body to send to an engine, with another model name; all else stays as the caller sent it.
     *
     * @param resolvedModel {@code model@version}, followed by {@code +adapter} if an adapter is used
     * @return JSON in UTF-8
     */
    public byte[] withModel(String resolvedModel) {
        return modelText.replacedIn(body, resolvedModel);
    }

    /**
     * Returns identifiers of the first {@link ChatBodyReader#MAX_PARTS} messages, without the last one of the prompt,
     * in order; equal messages have equal ones. Other requests may have these messages, too, while the last one is
     * their own.
     */
    public List<String> promptParts() {
        return promptParts;
    }

    /**
     * Returns a hash of the first characters of the message contents. Prompts with the same start have the same hash,
     * so that they can be sent to the same target.
     */
    public long prefixHash() {
        return prefixHash;
    }
}
