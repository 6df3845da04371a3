package io.persimmonstack.backends.json;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.function.Supplier;

/** HTTP client that sends JSON and reads complete responses up to a maximum size. */
public final class JsonClient {
    private final HttpConnector connector;
    private final HttpTimeouts timeouts;
    private final int maxResponseBytes;
    private final Supplier<Optional<String>> bearerToken;

    private JsonClient(
            HttpConnector connector,
            HttpTimeouts timeouts,
            int maxResponseBytes,
            Supplier<Optional<String>> bearerToken) {
        this.connector = connector;
        this.timeouts = timeouts;
        this.maxResponseBytes = maxResponseBytes;
        this.bearerToken = bearerToken;
    }

    /**
     * Returns a client that sends no credentials.
     *
     * @param connector opens the HTTP calls
     * @param timeouts timeouts of each call
     * @param maxResponseBytes largest response body that is accepted, in bytes
     */
    public static JsonClient of(HttpConnector connector, HttpTimeouts timeouts, int maxResponseBytes) {
        return new JsonClient(connector, timeouts, maxResponseBytes, Optional::empty);
    }

    /**
     * Returns a copy of this client that sends a bearer token with each call.
     *
     * @param token supplies the token, evaluated at each call; empty to send none
     */
    public JsonClient withBearerToken(Supplier<Optional<String>> token) {
        return new JsonClient(connector, timeouts, maxResponseBytes, token);
    }

    /**
     * Sends a GET request.
     *
     * @param target address of the service
     * @param path path with query
     * @return the response, whatever its status
     * @throws HttpFailure if no complete response arrived
     */
    public JsonResponse get(PeerAddress target, String path) throws HttpFailure {
        return exchange(target, HttpRequest.get(path));
    }

    /**
     * Sends a conditional GET request; if the resource has not changed, the response has status 304 and no body.
     *
     * @param target address of the service
     * @param path path with query
     * @param entityTag entity tag of the version that the caller already has
     * @return the response, whatever its status
     * @throws HttpFailure if no complete response arrived
     */
    public JsonResponse getIfChanged(PeerAddress target, String path, String entityTag) throws HttpFailure {
        return exchange(target, HttpRequest.get(path).with("If-None-Match", entityTag));
    }

    /**
     * Sends a POST request with a JSON body.
     *
     * @param target address of the service
     * @param path path with query
     * @param body record to send as JSON
     * @return the response, whatever its status
     * @throws HttpFailure if no complete response arrived
     */
    public JsonResponse post(PeerAddress target, String path, Record body) throws HttpFailure {
        return exchange(target, HttpRequest.postJson(path, JsonResponse.write(body)));
    }

    private JsonResponse exchange(PeerAddress target, HttpRequest request) throws HttpFailure {
        HttpRequest authorized = bearerToken
                .get()
                .map(token -> request.with("Authorization", "Bearer " + token))
                .orElse(request);
        try (HttpCall call = connector.open(target, authorized, timeouts)) {
            return new JsonResponse(call.status(), call.readAll(maxResponseBytes), call.header("ETag"));
        }
    }
}
