package io.persimmonstack.node.request;

import io.persimmonstack.backends.http.HttpHeader;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Request as the caller sent it, received whole.
 *
 * @param id identifier of this request; a caller's retry bears another
 * @param method HTTP method
 * @param host value of the Host header
 * @param path path without query
 * @param target path with query, as received
 * @param headers headers to hand on, without those of one connection
 * @param body whole body
 * @param timeLimitMs how long the caller waits, in milliseconds
 * @param model model asked for, absent for plain services
 * @param tokens size of the generation
 * @param prompt parts of the prompt in order
 * @param lastEventId last event that the caller has of an earlier answer
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
        OptionalLong lastEventId) {
    /** Copies the lists. */
    public CallerRequest {
        headers = List.copyOf(headers);
        prompt = List.copyOf(prompt);
    }
}
