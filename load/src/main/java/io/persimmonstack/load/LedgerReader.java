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

/** Reads {@code GET /ledger} from each stand-in and aggregates the ledgers into one {@link LedgerSummary}. */
final class LedgerReader {
    private static final EventLog LOG = EventLog.of(LedgerReader.class);
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 5_000, 5_000);
    private static final int MAX_LEDGER_BYTES = 64 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final Set<String> executedRequestIds = new HashSet<>();
    private final Map<String, Integer> peakReplicasByModel = new TreeMap<>();
    private final Map<String, Integer> loadsByModel = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> unreadableLedgers = new ArrayList<>();

    private long loadsBeyondMemory;
    private long ordersFenced;
    private long idleReplicaMs;
    private Optional<LedgerSummary.WeightStorePeak> weightStore = Optional.empty();

    private LedgerReader() {}

    /** Reads the ledgers at the given addresses; one that cannot be read is logged and listed in the summary. */
    static LedgerSummary read(List<String> addresses) {
        LedgerReader reader = new LedgerReader();
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            addresses.forEach(address -> reader.readLedger(connector, address));
        }
        return new LedgerSummary(
                reader.executedRequestIds,
                reader.peakReplicasByModel,
                reader.loadsByModel,
                reader.loadsBeyondMemory,
                reader.ordersFenced,
                reader.idleReplicaMs,
                reader.weightStore,
                reader.violations,
                reader.unreadableLedgers);
    }

    private void readLedger(HttpConnector connector, String address) {
        try (HttpCall call = connector.open(PeerAddress.parse(address), HttpRequest.get("/ledger"), TIMEOUTS)) {
            addLedger(address, MAPPER.readTree(call.readAll(MAX_LEDGER_BYTES)));
        } catch (HttpFailure | IOException e) {
            LOG.write(LoadEvent.LEDGER_FAILED, address, e.getMessage());
            unreadableLedgers.add(address);
        }
    }

    /** Adds one ledger: sums counters over the stand-ins and keeps the maximum of peak values. */
    private void addLedger(String address, JsonNode ledger) {
        ledger.path("requests").forEach(request -> executedRequestIds.add(clientRequestId(request.asText())));
        for (JsonNode replica : ledger.path("replicas")) {
            String model = replica.path("model").asText();
            peakReplicasByModel.merge(model, replica.path("most").asInt(), Math::max);
            loadsByModel.merge(model, replica.path("loads").asInt(), Integer::sum);
        }
        for (JsonNode target : ledger.path("targets")) {
            loadsBeyondMemory += target.path("ordersWithoutMemory").asLong();
            ordersFenced += target.path("ordersFenced").asLong();
            idleReplicaMs += target.path("idleReplicaMs").asLong();
            if (target.has("mostLoadsAtOnce")) {
                weightStore = Optional.of(weightStorePeak(target));
            }
        }
        ledger.path("violations").forEach(violation -> violations.add(address + ": " + violation.asText()));
    }

    private static LedgerSummary.WeightStorePeak weightStorePeak(JsonNode target) {
        return new LedgerSummary.WeightStorePeak(
                target.path("mostLoadsAtOnce").asInt(),
                target.path("fullSpeedLoads").asInt(),
                target.path("mostLoadsBegunInOneSecond").asInt(),
                target.path("loadsPerSecond").asDouble(),
                target.path("mostAdaptersAtOnce").asInt(),
                target.path("adaptersInFlight").asInt());
    }

    /**
     * Returns the identifier that the caller sent; towards targets, a router appends a full stop and an identifier of
     * its own.
     */
    static String clientRequestId(String targetRequestId) {
        int separator = targetRequestId.lastIndexOf('.');
        return separator < 0 ? targetRequestId : targetRequestId.substring(0, separator);
    }
}
