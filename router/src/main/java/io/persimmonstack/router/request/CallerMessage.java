package io.persimmonstack.router.request;

import java.util.Map;
import java.util.Optional;

/**
 * HTTP request as received from the caller.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query string without {@code ?}, empty if there is none
 * @param headers header values by lower-case name; the values of a repeated header are joined by commas
 * @param body whole body, empty if there is none
 */
public record CallerMessage(String method, String path, String query, Map<String, String> headers, byte[] body) {
    /**
     * Returns the value of a header.
     *
     * @param lowerCaseName name in lower case
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }
}
