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
    private final int maxResponseBytes;
    private final Supplier<Optional<String>> bearerToken;

    private JsonClient(
            HttpConnector connector, HttpTimeouts timeouts, int maxResponseBytes, Supplier<Optional<String>> bearerToken) {
        this.connector = connector;
        this.timeouts = timeouts;
        this.maxResponseBytes = maxResponseBytes;
        this.bearerToken = bearerToken;
    }

    /**
     * Returns a client.
     *
     * @param connector opens the calls
     * @param timeouts longest waits of each call
     * @param maxResponseBytes largest answer accepted
     */
    public static JsonClient of(HttpConnector connector, HttpTimeouts timeouts, int maxResponseBytes) {
        return new JsonClient(connector, timeouts, maxResponseBytes, Optional::empty);
    }

    /**
     * Returns this client with a token in each call.
     *
     * @param token bearerToken token, asked for at each call
     */
    public JsonClient withBearerToken(Supplier<Optional<String>> token) {
        return new JsonClient(connector, timeouts, maxResponseBytes, token);
    }

    /**
     * Reads a resource.
     *
     * @param target address of the service
     * @param path path with query
     * @return the answer, whatever its status
     * @throws HttpFailure if no whole answer arrived
     */
    public JsonResponse get(PeerAddress target, String path) throws HttpFailure {
        return exchange(target, HttpRequest.get(path));
    }

    /**
     * Reads a resource if it has changed; the answer has status 304 and no body where it has not.
     *
     * @param target address of the service
     * @param path path with query
     * @param entityTag entity tag of the state that is known
     * @return the answer, whatever its status
     * @throws HttpFailure if no whole answer arrived
     */
    public JsonResponse getIfChanged(PeerAddress target, String path, String entityTag) throws HttpFailure {
        return exchange(target, HttpRequest.get(path).with("If-None-Match", entityTag));
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
    public JsonResponse post(PeerAddress target, String path, Record body) throws HttpFailure {
        return exchange(target, HttpRequest.postJson(path, JsonResponse.write(body)));
    }

    private JsonResponse exchange(PeerAddress target, HttpRequest request) throws HttpFailure {
        HttpRequest authorized = bearerToken.get()
                .map(token -> request.with("Authorization", "Bearer " + token))
                .orElse(request);
        try (HttpCall call = connector.open(target, authorized, timeouts)) {
            return new JsonResponse(call.status(), call.readAll(maxResponseBytes), call.header("ETag"));
        }
    }
}
