package io.persimmonstack.backends.engine;

import io.persimmonstack.backends.engine.EngineBodies.FencedBody;
import io.persimmonstack.backends.engine.EngineBodies.OrderBody;
import io.persimmonstack.backends.engine.EngineBodies.StateBody;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.json.JsonAnswer;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;
import java.util.function.Supplier;

/** Speaks the engines' order protocol over HTTP. */
public final class HttpEngineOrders implements EngineOrders {
    private static final int MAX_BYTES = 1 << 20;
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
     * Returns an adapter.
     *
     * @param connector opens the calls
     * @param timeouts longest waits for loads and for the state
     * @param unloadTimeouts longest waits for unloads, which outlast the requests in progress
     */
    public static HttpEngineOrders of(HttpConnector connector, HttpTimeouts timeouts, HttpTimeouts unloadTimeouts) {
        return of(connector, timeouts, unloadTimeouts, Optional::empty);
    }

    /**
     * Returns an adapter that shows a token to the engines, for those that check who gives them an order.
     *
     * @param connector opens the calls
     * @param timeouts longest waits for loads and for the state
     * @param unloadTimeouts longest waits for unloads, which outlast the requests in progress
     * @param token bearer token, asked for at each call
     */
    public static HttpEngineOrders of(
            HttpConnector connector,
            HttpTimeouts timeouts,
            HttpTimeouts unloadTimeouts,
            Supplier<Optional<String>> token) {
        return new HttpEngineOrders(
                JsonClient.of(connector, timeouts, MAX_BYTES).withBearer(token),
                JsonClient.of(connector, unloadTimeouts, MAX_BYTES).withBearer(token));
    }

    @Override
    public LoadOutcome load(PeerAddress engine, LoadOrder order) {
        try {
            JsonAnswer answer = client.post(engine, "/orders/load", OrderBody.of(order));
            return switch (answer.status()) {
                case OK -> new LoadOutcome.Loaded();
                case ACCEPTED -> new LoadOutcome.Accepted();
                case INSUFFICIENT_STORAGE -> new LoadOutcome.NoMemory();
                default -> refusedLoad(answer);
            };
        } catch (HttpFailure e) {
            return e.sent() ? new LoadOutcome.Unknown(e.getMessage()) : new LoadOutcome.NotSent(e.getMessage());
        }
    }

    private static LoadOutcome refusedLoad(JsonAnswer answer) {
        Optional<Long> fence = fence(answer);
        if (fence.isPresent()) {
            return new LoadOutcome.Fenced(fence.get());
        }
        return isRefusal(answer)
                ? new LoadOutcome.Refused(answer.toString())
                : new LoadOutcome.Unknown(answer.toString());
    }

    @Override
    public UnloadOutcome unload(PeerAddress engine, UnloadOrder order) {
        try {
            JsonAnswer answer = unloadClient.post(engine, "/orders/unload", OrderBody.of(order));
            return answer.status() == OK ? new UnloadOutcome.Unloaded() : refusedUnload(answer);
        } catch (HttpFailure e) {
            return e.sent() ? new UnloadOutcome.Unknown(e.getMessage()) : new UnloadOutcome.NotSent(e.getMessage());
        }
    }

    private static UnloadOutcome refusedUnload(JsonAnswer answer) {
        Optional<Long> fence = fence(answer);
        if (fence.isPresent()) {
            return new UnloadOutcome.Fenced(fence.get());
        }
        return isRefusal(answer)
                ? new UnloadOutcome.Refused(answer.toString())
                : new UnloadOutcome.Unknown(answer.toString());
    }

    @Override
    public EngineState state(PeerAddress engine) throws EngineException {
        JsonAnswer answer;
        try {
            answer = client.get(engine, "/orders/state");
        } catch (HttpFailure e) {
            throw new EngineException(e.getMessage(), e);
        }
        Optional<StateBody> body = answer.status() == OK ? answer.bind(StateBody.class) : Optional.empty();
        String place = "GET " + engine + "/orders/state: " + answer;
        if (body.isEmpty()) {
            throw new EngineException(place + "; expected the state of an engine");
        }
        try {
            return body.get().convert();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new EngineException(place + ": " + e.getMessage(), e);
        }
    }

    private static Optional<Long> fence(JsonAnswer answer) {
        if (answer.status() != CONFLICT) {
            return Optional.empty();
        }
        return answer.bind(FencedBody.class).filter(FencedBody::isFenced).map(FencedBody::fence);
    }

    private static boolean isRefusal(JsonAnswer answer) {
        return answer.status() >= CLIENT_ERROR && answer.status() < SERVER_ERROR;
    }
}
