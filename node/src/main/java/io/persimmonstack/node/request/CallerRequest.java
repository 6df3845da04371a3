package io.persimmonstack.node.request;

import io.persimmonstack.backends.http.HttpHeader;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Decoded request of a caller, with its complete body.
 *
 * @param id identifier of this request; a retry by the caller has another one
 * @param method HTTP method
 * @param host value of the Host header
 * @param path path without query
 * @param target path with query, as received
 * @param headers headers to forward, without hop-by-hop headers and those that the node sets
 * @param body complete body
 * @param timeLimitMs how long the caller waits for the answer, in milliseconds; empty if not stated
 * @param model requested model, empty for services without models
 * @param tokens token counts of the prompt and the output
 * @param prompt parts of the prompt, in order
 * @param lastEventId last event that the caller received, if it resumes a stream
 * @param resumedRequest identifier of the request that brought the first event of the stream, if it resumes one
 */
public record CallerRequest(
        String id,
        String method,
        String host,
        String path,
        String target,
        List<HttpHeader> headers,
        byte[] body,
        OptionalInt timeLimitMs,
        Optional<ModelRef> model,
        TokenCount tokens,
        List<PromptPart> prompt,
        OptionalLong lastEventId,
        Optional<String> resumedRequest) {
    private static final int MAX_LOGGED_CHARACTERS = 200;

    /** Copies the lists. */
    public CallerRequest {
        headers = List.copyOf(headers);
        prompt = List.copyOf(prompt);
    }

    /** Returns a copy that asks for no model. Its headers stay the same. */
    public CallerRequest withoutModel() {
        return copy(headers, Optional.empty());
    }

    /** Returns a copy with other headers. */
    public CallerRequest withHeaders(List<HttpHeader> newHeaders) {
        return copy(newHeaders, model);
    }

    private CallerRequest copy(List<HttpHeader> newHeaders, Optional<ModelRef> newModel) {
        return new CallerRequest(
                id,
                method,
                host,
                path,
                target,
                newHeaders,
                body,
                timeLimitMs,
                newModel,
                tokens,
                prompt,
                lastEventId,
                resumedRequest);
    }

    /** Returns the parts of the prompt that other requests may have, too: all but the last, which is its own. */
    public List<PromptPart> sharedParts() {
        return prompt.isEmpty() ? List.of() : prompt.subList(0, prompt.size() - 1);
    }

    /** Returns the identifiers of these parts. */
    public List<String> sharedPartIds() {
        return sharedParts().stream().map(PromptPart::id).toList();
    }

    /** Returns the identifiers of the shared parts for the log, shortened if they are long. */
    public String loggedParts() {
        StringBuilder ids = new StringBuilder();
        for (PromptPart part : sharedParts()) {
            ids.append(ids.isEmpty() ? "" : ",").append(part.id());
            if (ids.length() > MAX_LOGGED_CHARACTERS) {
                return ids.substring(0, MAX_LOGGED_CHARACTERS) + "...";
            }
        }
        return ids.isEmpty() ? "-" : ids.toString();
    }
}
