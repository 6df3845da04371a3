package io.persimmonstack.backends.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * HTTP request with a complete body.
 *
 * <pre>{@code
 * HttpRequest request = HttpRequest.postJson("/orders/load", body).with("X-Request-Id", id);
 * }</pre>
 *
 * @param method HTTP method in upper case
 * @param path path with query, starting with a slash
 * @param headers header fields; Host and Content-Length are added if needed
 * @param body body, empty for none
 */
public record HttpRequest(String method, String path, List<HttpHeader> headers, byte[] body) {
    private static final Pattern METHOD = Pattern.compile("[A-Z]+");
    private static final Pattern PATH = Pattern.compile("/[!-~]*");

    /** Validates method and path and makes the headers immutable. */
    public HttpRequest {
        if (!METHOD.matcher(method).matches()) {
            throw new IllegalArgumentException("method '" + method + "': expected upper-case letters such as GET");
        }
        if (!PATH.matcher(path).matches()) {
            throw new IllegalArgumentException(
                    "path '" + path.strip() + "': expected a leading slash and only printable ASCII characters");
        }
        headers = List.copyOf(headers);
    }

    /** Returns a GET request without headers. */
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, List.of(), new byte[0]);
    }

    /** Returns a POST request with a JSON body. */
    public static HttpRequest postJson(String path, String json) {
        return postJson(path, json.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a POST request with a JSON body, encoded in UTF-8. */
    public static HttpRequest postJson(String path, byte[] json) {
        return new HttpRequest("POST", path, List.of(HttpHeader.of("Content-Type", "application/json")), json);
    }

    /** Returns a copy of this request with one more header. */
    public HttpRequest with(String name, String value) {
        List<HttpHeader> more = new ArrayList<>(headers);
        more.add(HttpHeader.of(name, value));
        return new HttpRequest(method, path, more, body);
    }

    /** Returns the first value of the named header. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
