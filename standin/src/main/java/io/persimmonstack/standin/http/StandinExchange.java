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

/** Request and answer of a stand-in. */
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

    /** Returns method and path, such as {@code GET /hosts}. */
    public String route() {
        return exchange.getRequestMethod() + " " + exchange.getRequestPath();
    }

    /** Returns the path. */
    public String path() {
        return exchange.getRequestPath();
    }

    /** Returns the first value of the named request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Returns the connection that the request came on. */
    public ServerConnection connection() {
        return exchange.getConnection();
    }

    /** Reads the body. */
    public byte[] readBody() throws IOException {
        InputStream input = exchange.getInputStream();
        byte[] content = input.readNBytes(MAX_BODY_BYTES + 1);
        if (content.length > MAX_BODY_BYTES) {
            throw new IOException("body larger than " + MAX_BODY_BYTES + " bytes");
        }
        return content;
    }

    /**
     * Binds the body to a record.
     *
     * @param type record to bind to
     * @param <T> type of the record
     * @return the record, or empty where the body is no such object
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

    /** Adds a header to the answer. */
    public void addHeader(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(name), value);
    }

    /** Answers with a record as JSON. */
    public void answer(int status, Record body) throws IOException {
        answer(status, "application/json", json(body));
    }

    /** Answers with the given bytes. */
    public void answer(int status, String contentType, byte[] body) throws IOException {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.setResponseContentLength(body.length);
        exchange.getOutputStream().write(body);
        exchange.endExchange();
    }

    /** Answers that the resource is as the request knows it. */
    public void answerNotModified() {
        exchange.setStatusCode(StatusCodes.NOT_MODIFIED);
        exchange.endExchange();
    }

    /** Begins a streamed answer; each flush sends what was written. */
    public OutputStream startStream(String contentType) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        return exchange.getOutputStream();
    }

    /** Ends a streamed answer. */
    public void endStream() {
        exchange.endExchange();
    }

    /** Returns a record as JSON in UTF-8. */
    public static byte[] json(Record body) throws IOException {
        return MAPPER.writeValueAsBytes(body);
    }
}
