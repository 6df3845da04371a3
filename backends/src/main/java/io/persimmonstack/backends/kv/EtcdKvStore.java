package io.persimmonstack.backends.kv;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.backends.json.JsonResponse;
import io.persimmonstack.backends.kv.EtcdMessages.Compare;
import io.persimmonstack.backends.kv.EtcdMessages.KeyValue;
import io.persimmonstack.backends.kv.EtcdMessages.Operation;
import io.persimmonstack.backends.kv.EtcdMessages.RangeRequest;
import io.persimmonstack.backends.kv.EtcdMessages.RangeResponse;
import io.persimmonstack.backends.kv.EtcdMessages.TxnRequest;
import io.persimmonstack.backends.kv.EtcdMessages.TxnResponse;
import io.persimmonstack.backends.kv.EtcdMessages.WatchCreate;
import io.persimmonstack.backends.kv.EtcdMessages.WatchRequest;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Client of the key-value service over the etcd v3 JSON gateway. Every call counts against the node's call budget and
 * fails immediately during the backoff after an outage. Thread-safe.
 *
 * <pre>{@code
 * KvStore store = EtcdKvStore.create(connector, PeerAddress.parse("10.0.0.9:2379"), KvOptions.defaults(), metrics);
 * }</pre>
 */
public final class EtcdKvStore implements KvStore, CallRates {
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final char SMALLEST_KEY_SUFFIX = '\0';
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_REQUEST = 400;
    private final HttpConnector connector;
    private final JsonClient client;
    private final PeerAddress endpoint;
    private final KvOptions options;
    private final KvCallGuard callGuard;

    private EtcdKvStore(
            HttpConnector connector,
            JsonClient client,
            PeerAddress endpoint,
            KvOptions options,
            KvCallGuard callGuard) {
        this.connector = connector;
        this.client = client;
        this.endpoint = endpoint;
        this.options = options;
        this.callGuard = callGuard;
    }

    /**
     * Returns a client of the key-value service.
     *
     * @param connector opens the HTTP calls
     * @param endpoint address of the service
     * @param options timeouts and call budget
     * @param metrics registry in which calls are counted by kind and outcome
     */
    public static EtcdKvStore create(
            HttpConnector connector, PeerAddress endpoint, KvOptions options, MetricRegistry metrics) {
        JsonClient client = JsonClient.of(connector, options.callTimeouts(), MAX_RESPONSE_BYTES);
        return new EtcdKvStore(connector, client, endpoint, options, KvCallGuard.of(options, metrics));
    }

    @Override
    public void setCallsPerSecond(int readsPerSecond, int writesPerSecond) {
        callGuard.setCallsPerSecond(readsPerSecond, writesPerSecond);
    }

    @Override
    public Optional<KvEntry> get(String key) throws KvException {
        RangeResponse response = readRange("get", key, RangeRequest.ofKey(EtcdMessages.encode(key)));
        return toEntries(key, response).stream().findFirst();
    }

    @Override
    public KvRange list(String prefix) throws KvException {
        List<KvEntry> matches = new ArrayList<>();
        long revision = scan(prefix, matches::add);
        return new KvRange(matches, revision);
    }

    @Override
    public long scan(String prefix, EntryConsumer consumer) throws KvException {
        PageSize size = new PageSize();
        String end = EtcdMessages.encodedRangeEnd(prefix);
        String from = EtcdMessages.encode(prefix);
        long revision = 0;
        while (true) {
            Optional<RangeResponse> page =
                    readPage(prefix, RangeRequest.page(from, end, size.entries(), revision), size);
            if (page.isEmpty()) {
                continue;
            }
            List<KvEntry> entries = toEntries(prefix, page.get());
            for (KvEntry entry : entries) {
                consumer.accept(entry);
            }
            revision = revision == 0 ? page.get().header().revision() : revision;
            if (entries.isEmpty() || !page.get().hasMore()) {
                return revision;
            }
            size.adaptTo(
                    entries.size(),
                    entries.stream().mapToLong(entry -> entry.value().length).sum());
            from = EtcdMessages.encode(entries.getLast().key() + SMALLEST_KEY_SUFFIX);
        }
    }

    /** Reads one page. Empty if the page was too large and has to be requested again with fewer entries. */
    private Optional<RangeResponse> readPage(String prefix, RangeRequest request, PageSize size)
            throws KvUnavailableException {
        try {
            return Optional.of(readRange("list", prefix, request));
        } catch (KvUnavailableException e) {
            boolean tooLarge =
                    e.getCause() instanceof HttpFailure failure && failure.kind() == HttpFailure.Kind.TOO_LARGE;
            if (tooLarge && size.shrink()) {
                return Optional.empty();
            }
            throw e;
        }
    }

    @Override
    public WriteOutcome put(String key, byte[] value, Expectation expected) throws KvException {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of '" + key + "': " + value.length + " bytes; expected at most " + MAX_VALUE_BYTES);
        }
        return write("put", key, Operation.put(EtcdMessages.encode(key), value), expected);
    }

    @Override
    public WriteOutcome delete(String key, Expectation expected) throws KvException {
        return write("delete", key, Operation.delete(EtcdMessages.encode(key)), expected);
    }

    @Override
    public KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException {
        callGuard.acquireRead("watch", prefix);
        WatchCreate create = new WatchCreate(
                EtcdMessages.encode(prefix), EtcdMessages.encodedRangeEnd(prefix), Long.toString(fromRevision), true);
        HttpRequest request = HttpRequest.postJson("/v3/watch", JsonResponse.write(new WatchRequest(create)));
        try {
            HttpCall call = connector.open(endpoint, request, options.watchTimeouts());
            return EtcdWatch.start(call, prefix, watcher, callGuard);
        } catch (HttpFailure e) {
            throw callGuard.recordUnavailable("watch '" + prefix + "': " + e.getMessage(), e);
        }
    }

    private RangeResponse readRange(String kind, String key, RangeRequest request) throws KvUnavailableException {
        callGuard.acquireRead(kind, key);
        String description = kind + " '" + key + "': ";
        JsonResponse httpResponse;
        try {
            httpResponse = client.post(endpoint, "/v3/kv/range", request);
        } catch (HttpFailure e) {
            throw callGuard.recordUnavailable(description + e.getMessage(), e);
        }
        Optional<RangeResponse> response =
                httpResponse.status() == OK ? httpResponse.bind(RangeResponse.class) : Optional.empty();
        if (response.isEmpty() || response.get().header() == null) {
            throw callGuard.recordUnavailable(description + httpResponse + "; expected a range response", null);
        }
        callGuard.recordResponse();
        return response.get();
    }

    private List<KvEntry> toEntries(String key, RangeResponse response) throws KvUnavailableException {
        if (response.kvs() == null) {
            return List.of();
        }
        try {
            return response.kvs().stream().map(KeyValue::toEntry).toList();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw callGuard.recordUnavailable("'" + key + "': invalid range response: " + e.getMessage(), e);
        }
    }

    private WriteOutcome write(String kind, String key, Operation operation, Expectation expected) throws KvException {
        callGuard.acquireWrite(kind, key);
        String encodedKey = EtcdMessages.encode(key);
        TxnRequest request = new TxnRequest(
                List.of(Compare.modRevision(encodedKey, expectedModRevision(expected))),
                List.of(operation),
                List.of(Operation.range(encodedKey)));
        String description = kind + " '" + key + "': ";
        try {
            return toOutcome(description, client.post(endpoint, "/v3/kv/txn", request));
        } catch (HttpFailure e) {
            throw e.sent()
                    ? callGuard.recordAmbiguous(description + e.getMessage(), e)
                    : callGuard.recordUnavailable(description + e.getMessage(), e);
        }
    }

    private WriteOutcome toOutcome(String description, JsonResponse httpResponse) throws KvException {
        if (httpResponse.status() == TOO_MANY_REQUESTS || httpResponse.status() == BAD_REQUEST) {
            throw callGuard.recordUnavailable(description + httpResponse, null);
        }
        Optional<TxnResponse> response =
                httpResponse.status() == OK ? httpResponse.bind(TxnResponse.class) : Optional.empty();
        if (response.isEmpty() || response.get().header() == null) {
            throw callGuard.recordAmbiguous(description + httpResponse + "; expected a transaction response", null);
        }
        callGuard.recordResponse();
        if (response.get().applied()) {
            return new WriteOutcome.Applied(response.get().header().revision());
        }
        return new WriteOutcome.Conflict(currentEntry(description, response.get()));
    }

    private Optional<KvEntry> currentEntry(String description, TxnResponse response) throws KvAmbiguousException {
        try {
            List<KeyValue> matches = response.responses().get(0).responseRange().kvs();
            return matches == null
                    ? Optional.empty()
                    : matches.stream().map(KeyValue::toEntry).findFirst();
        } catch (IllegalArgumentException | NullPointerException | IndexOutOfBoundsException e) {
            throw callGuard.recordAmbiguous(description + "transaction response without the current entry", e);
        }
    }

    /** Returns the expected revision of the key's last change, 0 for a key that must not exist. */
    private static long expectedModRevision(Expectation expected) {
        return switch (expected) {
            case Expectation.Absent absent -> 0;
            case Expectation.AtRevision at -> at.revision();
        };
    }
}
