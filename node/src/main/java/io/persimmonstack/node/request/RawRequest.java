package io.persimmonstack.node.request;

import io.persimmonstack.backends.http.HttpHeader;
import java.util.List;
import java.util.Optional;

/**
 * HTTP request as received, before {@code RunnerProtocol} decodes it.
 *
 * @param method HTTP method
 * @param path path without query
 * @param target path with query, as received
 * @param headers all headers
 * @param body complete body
 */
public record RawRequest(String method, String path, String target, List<HttpHeader> headers, byte[] body) {
    /** Returns the first value of the named header, without regard to case; empty if there is none. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
