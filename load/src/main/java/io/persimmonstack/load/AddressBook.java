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

/** Addresses of routers as a caller keeps them: asked of the system, used in turn, asked again once they are old. */
final class AddressBook {
    private static final EventLog LOG = EventLog.of(AddressBook.class);
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(500, 1_000, 1_000);
    private static final int MAX_PAGE_BYTES = 1 << 20;
    private static final int RETRY_MS = 500;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final HttpConnector connector;
    private final AtomicInteger turn = new AtomicInteger();
    private List<PeerAddress> addresses;
    private long keepUntilNanos;

    private AddressBook(HttpConnector connector, List<PeerAddress> entries) {
        this.connector = connector;
        this.addresses = List.copyOf(entries);
        this.keepUntilNanos = System.nanoTime();
    }

    static AddressBook of(HttpConnector connector, List<PeerAddress> entries) {
        return new AddressBook(connector, entries);
    }

    /** Returns the addresses in the order in which one request tries them. */
    List<PeerAddress> order() {
        List<PeerAddress> current = current();
        int first = Math.floorMod(turn.getAndIncrement(), current.size());
        List<PeerAddress> order = new ArrayList<>(current.subList(first, current.size()));
        order.addAll(current.subList(0, first));
        return order;
    }

    private synchronized List<PeerAddress> current() {
        if (System.nanoTime() - keepUntilNanos >= 0) {
            refresh();
        }
        return addresses;
    }

    private void refresh() {
        keepUntilNanos = System.nanoTime() + RETRY_MS * NANOS_PER_MS;
        for (PeerAddress address : addresses) {
            try (HttpCall call = connector.open(address, HttpRequest.get("/v1/addresses"), TIMEOUTS)) {
                JsonNode page = MAPPER.readTree(call.readAll(MAX_PAGE_BYTES));
                if (call.status() == OK && take(page)) {
                    return;
                }
            } catch (HttpFailure | IOException e) {
                LOG.write(LoadEvent.ADDRESSES_FAILED, address, e.getMessage());
            }
        }
    }

    private boolean take(JsonNode page) {
        List<PeerAddress> answered = new ArrayList<>();
        page.path("addresses")
                .forEach(entry ->
                        answered.add(PeerAddress.parse(entry.path("address").asText())));
        if (answered.isEmpty()) {
            return false;
        }
        addresses = List.copyOf(answered);
        keepUntilNanos = System.nanoTime() + page.path("keepForMs").asLong(RETRY_MS) * NANOS_PER_MS;
        return true;
    }
}
