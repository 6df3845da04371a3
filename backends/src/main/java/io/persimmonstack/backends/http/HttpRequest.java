package io.persimmonstack.backends.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
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
 * @param sendable asked right before the first byte is written; if it returns false, the request fails unsent
 */
public record HttpRequest(String method, String path, List<HttpHeader> headers, byte[] body, BooleanSupplier sendable) {
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

    /** Creates a request that is sent at any time. */
    public HttpRequest(String method, String path, List<HttpHeader> headers, byte[] body) {
        this(method, path, headers, body, () -> true);
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
        return new HttpRequest(method, path, more, body, sendable);
    }

    /**
     * Returns a copy of this request that is sent only while a condition holds, whatever time passes until a connection
     * is open.
     *
     * @param condition called on the I/O thread of the connection; must not block
     */
    public HttpRequest sentOnlyIf(BooleanSupplier condition) {
        return new HttpRequest(method, path, headers, body, condition);
    }

    /** Returns the first value of the named header. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
