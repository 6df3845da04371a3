package io.persimmonstack.standin.kv;

import io.persimmonstack.standin.kv.KvApiMessages.Compare;
import io.persimmonstack.standin.kv.KvApiMessages.Header;
import io.persimmonstack.standin.kv.KvApiMessages.KeyValue;
import io.persimmonstack.standin.kv.KvApiMessages.Operation;
import io.persimmonstack.standin.kv.KvApiMessages.OperationResponse;
import io.persimmonstack.standin.kv.KvApiMessages.RangeRequest;
import io.persimmonstack.standin.kv.KvApiMessages.RangeResponse;
import io.persimmonstack.standin.kv.KvApiMessages.TxnRequest;
import io.persimmonstack.standin.kv.KvApiMessages.TxnResponse;
import io.persimmonstack.standin.kv.KvApiMessages.WatchEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory key-value store with revisions and a bounded history of changes, like the store of etcd. Keys are decoded
 * as Latin-1 text, so that they sort by their bytes. Thread-safe.
 */
final class InMemoryMvccStore {
    /** Once the history is longer, its older half is discarded. */
    private static final int MAX_HISTORY_CHANGES = 200_000;

    private final NavigableMap<String, KeyValue> entries = new TreeMap<>();
    private final List<KeyChange> history = new ArrayList<>();
    private long revision = 1;
    /** Latest revision whose changes were removed from the history. */
    private long compactedRevision;

    /** Change of one key, with the entry that it replaced or deleted, if any. */
    record KeyChange(long revision, String key, Optional<KeyValue> previous, WatchEvent event) {}

    synchronized long revision() {
        return revision;
    }

    synchronized int keyCount() {
        return entries.size();
    }

    /** Returns the entries of a key or key range, ordered by key; {@code more} is set if the limit cut off some. */
    synchronized RangeResponse range(RangeRequest request) {
        List<KeyValue> found = selectRange(request);
        long limit = parseNumber(request.limit());
        boolean more = limit > 0 && found.size() > limit;
        List<KeyValue> page = more ? found.subList(0, (int) limit) : found;
        return new RangeResponse(header(), page, more ? true : null, Integer.toString(found.size()));
    }

    /**
     * Applies the success or the failure operations of a transaction atomically, depending on whether all comparisons
     * hold. The revision increases by one if anything was written.
     */
    synchronized TxnResponse transact(TxnRequest request) {
        boolean conditionsHold = request.compare().stream().allMatch(this::isSatisfied);
        List<Operation> operations = conditionsHold ? request.success() : request.failure();
        boolean writes = operations.stream().anyMatch(operation -> operation.requestRange() == null);
        long previousRevision = revision;
        if (writes) {
            revision++;
        }
        List<OperationResponse> responses = operations.stream().map(this::apply).toList();
        if (writes && (history.isEmpty() || history.getLast().revision() != revision)) {
            revision = previousRevision;
        }
        notifyAll();
        return new TxnResponse(header(), conditionsHold ? true : null, responses);
    }

    /**
     * Returns the changes after a revision. If there are none yet, waits for the next transaction or the timeout.
     *
     * @param afterRevision last revision that the caller has seen
     * @param timeoutMs longest wait, in milliseconds
     * @return changes of all keys, oldest first; empty after a timeout or a transaction without changes
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized List<KeyChange> changesAfter(long afterRevision, long timeoutMs) throws InterruptedException {
        if (revision <= afterRevision) {
            wait(timeoutMs);
        }
        int from = history.size();
        while (from > 0 && history.get(from - 1).revision() > afterRevision) {
            from--;
        }
        return List.copyOf(history.subList(from, history.size()));
    }

    /** Returns whether a decoded key lies in a range; a range without an end is a single key. */
    static boolean inRange(String key, RangeRequest range) {
        String start = decode(range.key());
        if (range.rangeEnd() == null) {
            return key.equals(start);
        }
        return key.compareTo(start) >= 0 && key.compareTo(decode(range.rangeEnd())) < 0;
    }

    /** Returns a response header with the current revision. */
    synchronized Header header() {
        return new Header(Long.toString(revision));
    }

    private List<KeyValue> selectRange(RangeRequest request) {
        String start = decode(request.key());
        NavigableMap<String, KeyValue> visibleEntries = entriesAt(parseNumber(request.revision()));
        if (request.rangeEnd() == null) {
            KeyValue found = visibleEntries.get(start);
            return found == null ? List.of() : List.of(found);
        }
        return List.copyOf(visibleEntries
                .subMap(start, true, decode(request.rangeEnd()), false)
                .values());
    }

    /**
     * Returns the entries as of a revision, 0 for the latest. A past state is the current one with the later changes
     * undone.
     *
     * @throws IllegalArgumentException if the history no longer reaches back to the revision
     */
    private NavigableMap<String, KeyValue> entriesAt(long targetRevision) {
        if (targetRevision == 0 || targetRevision >= revision) {
            return entries;
        }
        if (targetRevision < compactedRevision) {
            throw new IllegalArgumentException("required revision has been compacted");
        }
        NavigableMap<String, KeyValue> past = new TreeMap<>(entries);
        for (KeyChange change : history.reversed()) {
            if (change.revision() <= targetRevision) {
                break;
            }
            change.previous().ifPresentOrElse(entry -> past.put(change.key(), entry), () -> past.remove(change.key()));
        }
        return past;
    }

    private static long parseNumber(String text) {
        return text == null ? 0 : Long.parseLong(text);
    }

    private boolean isSatisfied(Compare compare) {
        if (!"MOD".equals(compare.target()) || !"EQUAL".equals(compare.result())) {
            throw new IllegalArgumentException("compare " + compare + ": expected target MOD and result EQUAL");
        }
        KeyValue found = entries.get(decode(compare.key()));
        long currentRevision = found == null ? 0 : Long.parseLong(found.modRevision());
        String expected = compare.modRevision() == null ? "0" : compare.modRevision();
        return currentRevision == Long.parseLong(expected);
    }

    private OperationResponse apply(Operation operation) {
        if (operation.requestPut() != null) {
            put(operation.requestPut());
            return new OperationResponse(new RangeResponse(header(), null, null, null), null, null);
        }
        if (operation.requestDeleteRange() != null) {
            selectRange(operation.requestDeleteRange()).forEach(this::delete);
            return new OperationResponse(null, new RangeResponse(header(), null, null, null), null);
        }
        return new OperationResponse(null, null, range(operation.requestRange()));
    }

    private void put(KvApiMessages.Put put) {
        String key = decode(put.key());
        KeyValue previous = entries.get(key);
        String newRevision = Long.toString(revision);
        String value = put.value() == null ? "" : put.value();
        KeyValue newEntry =
                new KeyValue(put.key(), value, newRevision, previous == null ? newRevision : previous.createRevision());
        entries.put(key, newEntry);
        record(key, Optional.ofNullable(previous), new WatchEvent(null, newEntry));
    }

    private void delete(KeyValue found) {
        String key = decode(found.key());
        entries.remove(key);
        KeyValue tombstone = new KeyValue(found.key(), null, Long.toString(revision), null);
        record(key, Optional.of(found), new WatchEvent("DELETE", tombstone));
    }

    private void record(String key, Optional<KeyValue> previous, WatchEvent event) {
        history.add(new KeyChange(revision, key, previous, event));
        if (history.size() > MAX_HISTORY_CHANGES) {
            compactedRevision = history.get(MAX_HISTORY_CHANGES / 2 - 1).revision();
            history.subList(0, MAX_HISTORY_CHANGES / 2).clear();
        }
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }
}
