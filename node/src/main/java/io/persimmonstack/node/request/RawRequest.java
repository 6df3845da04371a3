package io.persimmonstack.node.request;

import io.persimmonstack.backends.http.HttpHeader;
import java.util.List;
import java.util.Optional;

/**
 * Request before the wire protocol has been applied to it.
 *
 * @param method HTTP method
 * @param path path without query
 * @param target path with query, as received
 * @param headers all headers
 * @param body whole body
 */
public record RawRequest(String method, String path, String target, List<HttpHeader> headers, byte[] body) {
    /** Returns the first value of the named header. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
