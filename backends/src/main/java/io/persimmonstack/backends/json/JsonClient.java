package io.persimmonstack.backends.json;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.function.Supplier;

/** Sends JSON and reads whole answers of bounded size. */
public final class JsonClient {
    private final HttpConnector connector;
    private final HttpTimeouts timeouts;
    private final int maxBytes;
    private final Supplier<Optional<String>> bearer;

    private JsonClient(
            HttpConnector connector, HttpTimeouts timeouts, int maxBytes, Supplier<Optional<String>> bearer) {
        this.connector = connector;
        this.timeouts = timeouts;
        this.maxBytes = maxBytes;
        this.bearer = bearer;
    }

    /**
     * Returns a client.
     *
     * @param connector opens the calls
     * @param timeouts longest waits of each call
     * @param maxBytes largest answer accepted
     */
    public static JsonClient of(HttpConnector connector, HttpTimeouts timeouts, int maxBytes) {
        return new JsonClient(connector, timeouts, maxBytes, Optional::empty);
    }

    /**
     * Returns this client with a token in each call.
     *
     * @param token bearer token, asked for at each call
     */
    public JsonClient withBearer(Supplier<Optional<String>> token) {
        return new JsonClient(connector, timeouts, maxBytes, token);
    }

    /**
     * Reads a resource.
     *
     * @param target address of the service
     * @param path path with query
     * @return the answer, whatever its status
     * @throws HttpFailure if no whole answer arrived
     */
    public JsonAnswer get(PeerAddress target, String path) throws HttpFailure {
        return exchange(target, HttpRequest.get(path));
    }

    /**
     * Reads a resource if it has changed; the answer has status 304 and no body where it has not.
     *
     * @param target address of the service
     * @param path path with query
     * @param knownTag entity tag of the state that is known
     * @return the answer, whatever its status
     * @throws HttpFailure if no whole answer arrived
     */
    public JsonAnswer getIfChanged(PeerAddress target, String path, String knownTag) throws HttpFailure {
        return exchange(target, HttpRequest.get(path).with("If-None-Match", knownTag));
    }

    /**
     * Posts a record.
     *
     * @param target address of the service
     * @param path path with query
     * @param body record to send as JSON
     * @return the answer, whatever its status
     * @throws HttpFailure if no whole answer arrived
     */
    public JsonAnswer post(PeerAddress target, String path, Record body) throws HttpFailure {
        return exchange(target, HttpRequest.postJson(path, JsonAnswer.write(body)));
    }

    private JsonAnswer exchange(PeerAddress target, HttpRequest request) throws HttpFailure {
        HttpRequest sent = bearer.get()
                .map(token -> request.with("Authorization", "Bearer " + token))
                .orElse(request);
        try (HttpCall call = connector.open(target, sent, timeouts)) {
            return new JsonAnswer(call.status(), call.readAll(maxBytes), call.header("ETag"));
        }
    }
}
