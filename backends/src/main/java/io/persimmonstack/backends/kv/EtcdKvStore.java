package io.persimmonstack.backends.kv;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.json.JsonAnswer;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.backends.kv.EtcdBodies.Compare;
import io.persimmonstack.backends.kv.EtcdBodies.KeyValue;
import io.persimmonstack.backends.kv.EtcdBodies.Operation;
import io.persimmonstack.backends.kv.EtcdBodies.RangeRequest;
import io.persimmonstack.backends.kv.EtcdBodies.RangeResponse;
import io.persimmonstack.backends.kv.EtcdBodies.TxnRequest;
import io.persimmonstack.backends.kv.EtcdBodies.TxnResponse;
import io.persimmonstack.backends.kv.EtcdBodies.WatchCreate;
import io.persimmonstack.backends.kv.EtcdBodies.WatchRequest;
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
 * Key-value service over the etcd v3 JSON gateway.
 *
 * <pre>{@code
 * KvStore store = EtcdKvStore.create(connector, PeerAddress.parse("10.0.0.9:2379"), KvOptions.defaults(), metrics);
 * }</pre>
 */
public final class EtcdKvStore implements KvStore, CallRates {
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final char FIRST_SUFFIX = '\0';
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_REQUEST = 400;
    private final HttpConnector connector;
    private final JsonClient client;
    private final PeerAddress endpoint;
    private final KvOptions options;
    private final KvCalls calls;

    private EtcdKvStore(
            HttpConnector connector, JsonClient client, PeerAddress endpoint, KvOptions options, KvCalls calls) {
        this.connector = connector;
        this.client = client;
        this.endpoint = endpoint;
        this.options = options;
        this.calls = calls;
    }

    /**
     * Returns a store.
     *
     * @param connector opens the calls
     * @param endpoint address of the service
     * @param options waits and call budget
     * @param metrics counts calls by kind and outcome
     */
    public static EtcdKvStore create(
            HttpConnector connector, PeerAddress endpoint, KvOptions options, MetricRegistry metrics) {
        JsonClient client = JsonClient.of(connector, options.callTimeouts(), MAX_ANSWER_BYTES);
        return new EtcdKvStore(connector, client, endpoint, options, KvCalls.of(options, metrics));
    }

    @Override
    public void perSecond(int reads, int writes) {
        calls.perSecond(reads, writes);
    }

    @Override
    public Optional<KvEntry> get(String key) throws KvException {
        RangeResponse response = range("get", key, RangeRequest.ofKey(EtcdBodies.encode(key)));
        return entries(key, response).stream().findFirst();
    }

    @Override
    public KvRange list(String prefix) throws KvException {
        List<KvEntry> found = new ArrayList<>();
        long revision = scan(prefix, found::add);
        return new KvRange(found, revision);
    }

    @Override
    public long scan(String prefix, EntryConsumer consumer) throws KvException {
        PageSize size = new PageSize();
        String end = EtcdBodies.encodedRangeEnd(prefix);
        String from = EtcdBodies.encode(prefix);
        long revision = 0;
        while (true) {
            Optional<RangeResponse> page = page(prefix, RangeRequest.page(from, end, size.entries(), revision), size);
            if (page.isEmpty()) {
                continue;
            }
            List<KvEntry> entries = entries(prefix, page.get());
            for (KvEntry entry : entries) {
                consumer.accept(entry);
            }
            revision = revision == 0 ? page.get().header().revision() : revision;
            if (entries.isEmpty() || !page.get().hasMore()) {
                return revision;
            }
            size.arrived(
                    entries.size(),
                    entries.stream().mapToLong(entry -> entry.value().length).sum());
            from = EtcdBodies.encode(entries.getLast().key() + FIRST_SUFFIX);
        }
    }

    /** Reads one page; empty where it is to be asked for again with fewer entries. */
    private Optional<RangeResponse> page(String prefix, RangeRequest request, PageSize size)
            throws KvUnavailableException {
        try {
            return Optional.of(range("list", prefix, request));
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
        return write("put", key, Operation.put(EtcdBodies.encode(key), value), expected);
    }

    @Override
    public WriteOutcome delete(String key, Expectation expected) throws KvException {
        return write("delete", key, Operation.delete(EtcdBodies.encode(key)), expected);
    }

    @Override
    public KvSubscription watch(String prefix, long fromRevision, KvWatcher watcher) throws KvException {
        calls.beginRead("watch", prefix);
        WatchCreate create = new WatchCreate(
                EtcdBodies.encode(prefix), EtcdBodies.encodedRangeEnd(prefix), Long.toString(fromRevision), true);
        HttpRequest request = HttpRequest.postJson("/v3/watch", JsonAnswer.write(new WatchRequest(create)));
        try {
            HttpCall call = connector.open(endpoint, request, options.watchTimeouts());
            return EtcdWatch.start(call, prefix, watcher, calls.openWatches());
        } catch (HttpFailure e) {
            throw calls.unavailable("watch '" + prefix + "': " + e.getMessage(), e);
        }
    }

    private RangeResponse range(String kind, String key, RangeRequest request) throws KvUnavailableException {
        calls.beginRead(kind, key);
        String place = kind + " '" + key + "': ";
        JsonAnswer answer;
        try {
            answer = client.post(endpoint, "/v3/kv/range", request);
        } catch (HttpFailure e) {
            throw calls.unavailable(place + e.getMessage(), e);
        }
        Optional<RangeResponse> response = answer.status() == OK ? answer.bind(RangeResponse.class) : Optional.empty();
        if (response.isEmpty() || response.get().header() == null) {
            throw calls.unavailable(place + answer + "; expected a range", null);
        }
        calls.answered();
        return response.get();
    }

    private List<KvEntry> entries(String key, RangeResponse response) throws KvUnavailableException {
        if (response.kvs() == null) {
            return List.of();
        }
        try {
            return response.kvs().stream().map(KeyValue::entry).toList();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw calls.unavailable("'" + key + "': answer that is no range: " + e.getMessage(), e);
        }
    }

    private WriteOutcome write(String kind, String key, Operation operation, Expectation expected) throws KvException {
        calls.beginWrite(kind, key);
        String encodedKey = EtcdBodies.encode(key);
        TxnRequest request = new TxnRequest(
                List.of(Compare.modRevision(encodedKey, revisionOf(expected))),
                List.of(operation),
                List.of(Operation.range(encodedKey)));
        String place = kind + " '" + key + "': ";
        try {
            return outcome(place, client.post(endpoint, "/v3/kv/txn", request));
        } catch (HttpFailure e) {
            throw e.sent() ? calls.ambiguous(place + e.getMessage(), e) : calls.unavailable(place + e.getMessage(), e);
        }
    }

    private WriteOutcome outcome(String place, JsonAnswer answer) throws KvException {
        if (answer.status() == TOO_MANY_REQUESTS || answer.status() == BAD_REQUEST) {
            throw calls.unavailable(place + answer, null);
        }
        Optional<TxnResponse> response = answer.status() == OK ? answer.bind(TxnResponse.class) : Optional.empty();
        if (response.isEmpty() || response.get().header() == null) {
            throw calls.ambiguous(place + answer + "; expected a transaction's answer", null);
        }
        calls.answered();
        if (response.get().applied()) {
            return new WriteOutcome.Applied(response.get().header().revision());
        }
        return new WriteOutcome.Conflict(current(place, response.get()));
    }

    private Optional<KvEntry> current(String place, TxnResponse response) throws KvAmbiguousException {
        try {
            List<KeyValue> found = response.responses().get(0).responseRange().kvs();
            return found == null
                    ? Optional.empty()
                    : found.stream().map(KeyValue::entry).findFirst();
        } catch (IllegalArgumentException | NullPointerException | IndexOutOfBoundsException e) {
            throw calls.ambiguous(place + "answer without the current entry", e);
        }
    }

    private static long revisionOf(Expectation expected) {
        return switch (expected) {
            case Expectation.Absent absent -> 0;
            case Expectation.AtRevision at -> at.revision();
        };
    }
}
