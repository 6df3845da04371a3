package io.persimmonstack.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Reads {@code GET /ledger} of the stand-ins and adds it up. */
final class LedgerReader {
    private static final EventLog LOG = EventLog.of(LedgerReader.class);
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 5_000, 5_000);
    private static final int MAX_PAGE_BYTES = 64 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final Set<String> ran = new HashSet<>();
    private final Map<String, Integer> mostReplicas = new TreeMap<>();
    private final Map<String, Integer> loads = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> unread = new ArrayList<>();

    private long loadsWithoutMemory;
    private long ordersFenced;
    private long idleReplicaMs;
    private Optional<LedgerTotals.StoreUse> store = Optional.empty();

    private LedgerReader() {}

    static LedgerTotals read(List<String> addresses) {
        LedgerReader reader = new LedgerReader();
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            addresses.forEach(address -> reader.readOne(connector, address));
        }
        return new LedgerTotals(
                reader.ran,
                reader.mostReplicas,
                reader.loads,
                reader.loadsWithoutMemory,
                reader.ordersFenced,
                reader.idleReplicaMs,
                reader.store,
                reader.violations,
                reader.unread);
    }

    private void readOne(HttpConnector connector, String address) {
        try (HttpCall call = connector.open(PeerAddress.parse(address), HttpRequest.get("/ledger"), TIMEOUTS)) {
            add(address, MAPPER.readTree(call.readAll(MAX_PAGE_BYTES)));
        } catch (HttpFailure | IOException e) {
            LOG.write(LoadEvent.LEDGER_FAILED, address, e.getMessage());
            unread.add(address);
        }
    }

    private void add(String address, JsonNode page) {
        page.path("requests").forEach(request -> ran.add(callersIdentifier(request.asText())));
        for (JsonNode replica : page.path("replicas")) {
            String model = replica.path("model").asText();
            mostReplicas.merge(model, replica.path("most").asInt(), Math::max);
            loads.merge(model, replica.path("loads").asInt(), Integer::sum);
        }
        for (JsonNode target : page.path("targets")) {
            loadsWithoutMemory += target.path("ordersWithoutMemory").asLong();
            ordersFenced += target.path("ordersFenced").asLong();
            idleReplicaMs += target.path("idleReplicaMs").asLong();
            if (target.has("mostLoadsAtOnce")) {
                store = Optional.of(storeUse(target));
            }
        }
        page.path("violations").forEach(violation -> violations.add(address + ": " + violation.asText()));
    }

    private static LedgerTotals.StoreUse storeUse(JsonNode page) {
        return new LedgerTotals.StoreUse(
                page.path("mostLoadsAtOnce").asInt(),
                page.path("fullSpeedLoads").asInt(),
                page.path("mostLoadsBegunInOneSecond").asInt(),
                page.path("loadsPerSecond").asDouble(),
                page.path("mostAdaptersAtOnce").asInt(),
                page.path("adaptersInFlight").asInt());
    }

    /** Returns the caller's part of an identifier, to which a router adds a full stop and one of its own. */
    static String callersIdentifier(String seenByTarget) {
        int stop = seenByTarget.lastIndexOf('.');
        return stop < 0 ? seenByTarget : seenByTarget.substring(0, stop);
    }
}
