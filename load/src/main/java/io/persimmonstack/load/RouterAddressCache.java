package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Caches the addresses of the routers as an external caller does: fetches them from a known router, uses them in
 * rotation and fetches them again once the lifetime that the router stated has passed.
 *
 * <p>Thread-safe; a refresh blocks all users.
 */
final class RouterAddressCache {
    private static final EventLog LOG = EventLog.of(RouterAddressCache.class);
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(500, 1_000, 1_000);
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    /** Time until the next refresh if no router answered, or if the answer states no lifetime. */
    private static final int REFRESH_RETRY_MS = 500;

    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final HttpConnector connector;
    private final AtomicInteger rotation = new AtomicInteger();
    private List<PeerAddress> addresses;
    private long expiresAtNanos;

    private RouterAddressCache(HttpConnector connector, List<PeerAddress> initialAddresses) {
        this.connector = connector;
        this.addresses = List.copyOf(initialAddresses);
        this.expiresAtNanos = System.nanoTime();
    }

    static RouterAddressCache of(HttpConnector connector, List<PeerAddress> initialAddresses) {
        return new RouterAddressCache(connector, initialAddresses);
    }

    /** Returns all addresses in the order in which one request tries them; each call starts at the next router. */
    List<PeerAddress> tryOrder() {
        List<PeerAddress> routers = unexpiredAddresses();
        int start = Math.floorMod(rotation.getAndIncrement(), routers.size());
        List<PeerAddress> rotated = new ArrayList<>(routers.subList(start, routers.size()));
        rotated.addAll(routers.subList(0, start));
        return rotated;
    }

    /** Returns the cached addresses, after a refresh if they have expired. */
    private synchronized List<PeerAddress> unexpiredAddresses() {
        if (System.nanoTime() - expiresAtNanos >= 0) {
            refresh();
        }
        return addresses;
    }

    /** Asks the known routers one by one until one returns addresses; if none does, the old addresses stay in use. */
    private void refresh() {
        expiresAtNanos = System.nanoTime() + REFRESH_RETRY_MS * NANOS_PER_MS;
        for (PeerAddress address : addresses) {
            try (HttpCall call = connector.open(address, HttpRequest.get("/v1/addresses"), TIMEOUTS)) {
                JsonNode response = MAPPER.readTree(call.readAll(MAX_RESPONSE_BYTES));
                if (call.status() == HTTP_OK && replaceAddresses(response)) {
                    return;
                }
            } catch (HttpFailure | IOException e) {
                LOG.write(LoadEvent.ADDRESSES_FAILED, address, e.getMessage());
            }
        }
    }

    /** Replaces the addresses and their expiry; returns false if the response contains no addresses. */
    private boolean replaceAddresses(JsonNode response) {
        List<PeerAddress> received = new ArrayList<>();
        response.path("addresses")
                .forEach(entry ->
                        received.add(PeerAddress.parse(entry.path("address").asText())));
        if (received.isEmpty()) {
            return false;
        }
        addresses = List.copyOf(received);
        expiresAtNanos = System.nanoTime() + response.path("keepForMs").asLong(REFRESH_RETRY_MS) * NANOS_PER_MS;
        return true;
    }
}
