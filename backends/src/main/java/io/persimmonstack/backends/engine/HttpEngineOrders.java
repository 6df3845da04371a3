package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.engine.EngineMessages.FencedBody;
import io.persimmonstack.backends.engine.EngineMessages.OrderBody;
import io.persimmonstack.backends.engine.EngineMessages.StateBody;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.backends.json.JsonResponse;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.function.Supplier;

/** Sends orders to model engines as HTTP requests with JSON bodies. */
public final class HttpEngineOrders implements EngineOrders {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CLIENT_ERROR = 400;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;
    private static final int INSUFFICIENT_STORAGE = 507;
    private final JsonClient client;
    private final JsonClient unloadClient;

    private HttpEngineOrders(JsonClient client, JsonClient unloadClient) {
        this.client = client;
        this.unloadClient = unloadClient;
    }

    /**
     * Returns a client that sends no credentials.
     *
     * @param connector opens the HTTP calls
     * @param timeouts timeouts of loads and of reading the state
     * @param unloadTimeouts timeouts of unloads, which last until the requests in progress have finished
     */
    public static HttpEngineOrders of(HttpConnector connector, HttpTimeouts timeouts, HttpTimeouts unloadTimeouts) {
        return of(connector, timeouts, unloadTimeouts, Optional::empty);
    }

    /**
     * Returns a client that sends a bearer token, for engines that authenticate the sender of an order.
     *
     * @param connector opens the HTTP calls
     * @param timeouts timeouts of loads and of reading the state
     * @param unloadTimeouts timeouts of unloads, which last until the requests in progress have finished
     * @param token supplies the bearer token, evaluated at each call
     */
    public static HttpEngineOrders of(
            HttpConnector connector,
            HttpTimeouts timeouts,
            HttpTimeouts unloadTimeouts,
            Supplier<Optional<String>> token) {
        return new HttpEngineOrders(
                JsonClient.of(connector, timeouts, MAX_RESPONSE_BYTES).withBearerToken(token),
                JsonClient.of(connector, unloadTimeouts, MAX_RESPONSE_BYTES).withBearerToken(token));
    }

    @Override
    public LoadOutcome load(PeerAddress engine, LoadOrder order) {
        try {
            JsonResponse response = client.post(engine, "/orders/load", OrderBody.of(order));
            return switch (response.status()) {
                case OK -> new LoadOutcome.Loaded();
                case ACCEPTED -> new LoadOutcome.Accepted();
                case INSUFFICIENT_STORAGE -> new LoadOutcome.NoMemory();
                default -> unsuccessfulLoad(response);
            };
        } catch (HttpFailure e) {
            return e.sent() ? new LoadOutcome.Unknown(e.getMessage()) : new LoadOutcome.NotSent(e.getMessage());
        }
    }

    private static LoadOutcome unsuccessfulLoad(JsonResponse response) {
        Optional<Long> fencedBy = fencedBy(response);
        if (fencedBy.isPresent()) {
            return new LoadOutcome.Fenced(fencedBy.get());
        }
        return isClientError(response)
                ? new LoadOutcome.Refused(response.toString())
                : new LoadOutcome.Unknown(response.toString());
    }

    @Override
    public UnloadOutcome unload(PeerAddress engine, UnloadOrder order) {
        try {
            JsonResponse response = unloadClient.post(engine, "/orders/unload", OrderBody.of(order));
            return response.status() == OK ? new UnloadOutcome.Unloaded() : unsuccessfulUnload(response);
        } catch (HttpFailure e) {
            return e.sent() ? new UnloadOutcome.Unknown(e.getMessage()) : new UnloadOutcome.NotSent(e.getMessage());
        }
    }

    private static UnloadOutcome unsuccessfulUnload(JsonResponse response) {
        Optional<Long> fencedBy = fencedBy(response);
        if (fencedBy.isPresent()) {
            return new UnloadOutcome.Fenced(fencedBy.get());
        }
        return isClientError(response)
                ? new UnloadOutcome.Refused(response.toString())
                : new UnloadOutcome.Unknown(response.toString());
    }

    @Override
    public EngineState state(PeerAddress engine) throws EngineException {
        JsonResponse response;
        try {
            response = client.get(engine, "/orders/state");
        } catch (HttpFailure e) {
            throw new EngineException(e.getMessage(), e);
        }
        Optional<StateBody> body = response.status() == OK ? response.bind(StateBody.class) : Optional.empty();
        String description = "GET " + engine + "/orders/state: " + response;
        if (body.isEmpty()) {
            throw new EngineException(description + "; expected the state of an engine");
        }
        try {
            return body.get().toState();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new EngineException(description + ": " + e.getMessage(), e);
        }
    }

    /** Returns the highest fencing token that the engine has seen if it refused the order as stale. */
    private static Optional<Long> fencedBy(JsonResponse response) {
        if (response.status() != CONFLICT) {
            return Optional.empty();
        }
        return response.bind(FencedBody.class).filter(FencedBody::isFenced).map(FencedBody::fence);
    }

    private static boolean isClientError(JsonResponse response) {
        return response.status() >= CLIENT_ERROR && response.status() < SERVER_ERROR;
    }
}
