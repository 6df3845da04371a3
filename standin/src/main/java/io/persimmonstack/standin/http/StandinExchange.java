package io.persimmonstack.standin.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;

/** One HTTP request to a stand-in and its response; bodies are JSON. Not thread-safe. */
public final class StandinExchange {
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();
    private final HttpServerExchange exchange;

    StandinExchange(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns the request method and path, such as {@code GET /hosts}. */
    public String route() {
        return exchange.getRequestMethod() + " " + exchange.getRequestPath();
    }

    /** Returns the path of the request, without the query. */
    public String path() {
        return exchange.getRequestPath();
    }

    /** Returns the first value of the named request header, or empty if the request does not have it. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Returns the connection of the request. */
    public ServerConnection connection() {
        return exchange.getConnection();
    }

    /**
     * Reads the whole request body.
     *
     * @return body, at most 8 MiB
     * @throws IOException if the body is larger or the connection fails
     */
    public byte[] readBody() throws IOException {
        InputStream input = exchange.getInputStream();
        byte[] content = input.readNBytes(MAX_BODY_BYTES + 1);
        if (content.length > MAX_BODY_BYTES) {
            throw new IOException("body larger than " + MAX_BODY_BYTES + " bytes");
        }
        return content;
    }

    /**
     * Parses the request body as JSON into a record; unknown fields are ignored.
     *
     * @param type record type
     * @param <T> type of the record
     * @return the record, or empty if the body is not JSON of that type
     * @throws IOException if the body cannot be read
     */
    public <T extends Record> Optional<T> parseBody(Class<T> type) throws IOException {
        byte[] content = readBody();
        try {
            return Optional.ofNullable(MAPPER.readValue(content, type));
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            return Optional.empty();
        }
    }

    /** Sets a response header, replacing an earlier value. */
    public void setHeader(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(name), value);
    }

    /** Sends a response whose body is the given record as JSON. */
    public void respond(int status, Record body) throws IOException {
        respond(status, "application/json", json(body));
    }

    /** Sends a response with the given body. */
    public void respond(int status, String contentType, byte[] body) throws IOException {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.setResponseContentLength(body.length);
        exchange.getOutputStream().write(body);
        exchange.endExchange();
    }

    /** Sends 304 Not Modified. */
    public void respondNotModified() {
        exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
        exchange.endExchange();
    }

    /** Starts a streamed response with status 200 and returns its body; each flush sends what was written. */
    public OutputStream startStream(String contentType) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        return exchange.getOutputStream();
    }

    /** Ends a streamed response. */
    public void endStream() {
        exchange.endExchange();
    }

    /** Serialises a record as JSON in UTF-8; null components are omitted. */
    public static byte[] json(Record body) throws IOException {
        return MAPPER.writeValueAsBytes(body);
    }
}
