package io.persimmonstack.backends.kv;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

/**
 * Request and response bodies of the etcd v3 JSON gateway. The gateway encodes bytes in base64 and 64-bit numbers as
 * strings, and omits fields that have their default value. The component names are the field names on the wire.
 */
final class EtcdMessages {
    private EtcdMessages() {}

    /** Encodes a key in UTF-8 and base64. */
    static String encode(String key) {
        return encode(key.getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes bytes in base64. */
    static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /**
     * Returns the encoded end, exclusive, of the range of all keys with a prefix: the prefix with its last byte
     * incremented.
     */
    static String encodedRangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        return encode(end);
    }

    /** Request to read or delete one key or a range of keys. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record RangeRequest(
            String key, @JsonProperty("range_end") String rangeEnd, String limit, String revision) {
        /** Returns a request for a single key. */
        static RangeRequest ofKey(String encodedKey) {
            return new RangeRequest(encodedKey, null, null, null);
        }

        /** Returns a request for one page of a range; revision 0 stands for the latest revision. */
        static RangeRequest page(String encodedFrom, String encodedEnd, int limit, long revision) {
            return new RangeRequest(
                    encodedFrom, encodedEnd, Integer.toString(limit), revision == 0 ? null : Long.toString(revision));
        }
    }

    /** Entries of a range; {@code more} tells that the page limit cut the range short. */
    record RangeResponse(Header header, List<KeyValue> kvs, Boolean more) {
        boolean hasMore() {
            return Boolean.TRUE.equals(more);
        }
    }

    /** Header of every response; {@code revision} is the revision of the whole store. */
    record Header(long revision) {}

    /** Key and value in base64, with the revision of the key's last change. */
    record KeyValue(
            String key,
            String value,
            @JsonProperty("mod_revision") long modRevision) {
        KvEntry toEntry() {
            byte[] bytes = value == null ? new byte[0] : Base64.getDecoder().decode(value);
            return new KvEntry(decodedKey(), bytes, modRevision);
        }

        String decodedKey() {
            return new String(Base64.getDecoder().decode(key), StandardCharsets.UTF_8);
        }
    }

    /** Transaction: runs {@code success} if every comparison holds, otherwise {@code failure}. */
    record TxnRequest(List<Compare> compare, List<Operation> success, List<Operation> failure) {}

    /** Condition of a transaction. */
    record Compare(
            String key,
            String target,
            String result,
            @JsonProperty("mod_revision") String modRevision) {
        /** Returns the condition that a key was last changed at a revision; revision 0 stands for an absent key. */
        static Compare modRevision(String encodedKey, long revision) {
            return new Compare(encodedKey, "MOD", "EQUAL", Long.toString(revision));
        }
    }

    /** Operation of a transaction; exactly one component is set. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Operation(PutRequest requestPut, RangeRequest requestDeleteRange, RangeRequest requestRange) {
        static Operation put(String encodedKey, byte[] value) {
            return new Operation(new PutRequest(encodedKey, encode(value)), null, null);
        }

        static Operation delete(String encodedKey) {
            return new Operation(null, RangeRequest.ofKey(encodedKey), null);
        }

        static Operation range(String encodedKey) {
            return new Operation(null, null, RangeRequest.ofKey(encodedKey));
        }
    }

    /** Request to write one key. */
    record PutRequest(String key, String value) {}

    /** Result of a transaction. */
    record TxnResponse(Header header, Boolean succeeded, List<OperationResponse> responses) {
        boolean applied() {
            return Boolean.TRUE.equals(succeeded);
        }
    }

    /** Result of one operation of a transaction; only ranges are read. */
    record OperationResponse(@JsonProperty("response_range") RangeResponse responseRange) {}

    /** Request to open a watch. */
    record WatchRequest(@JsonProperty("create_request") WatchCreate createRequest) {}

    /** Range and first revision of a watch. */
    record WatchCreate(
            String key,
            @JsonProperty("range_end") String rangeEnd,
            @JsonProperty("start_revision") String startRevision,
            @JsonProperty("progress_notify") boolean progressNotify) {}

    /** Line of the response stream of a watch. */
    record WatchLine(WatchResult result) {}

    /** Confirmation, changes or end of a watch. */
    record WatchResult(Header header, Boolean created, Boolean canceled, List<WatchEvent> events) {
        boolean isCreated() {
            return Boolean.TRUE.equals(created);
        }

        boolean isCanceled() {
            return Boolean.TRUE.equals(canceled);
        }
    }

    /** Change of one key. */
    record WatchEvent(String type, KeyValue kv) {
        KvChange toChange() {
            return "DELETE".equals(type)
                    ? new KvChange.Deleted(kv.decodedKey(), kv.modRevision())
                    : new KvChange.Written(kv.toEntry());
        }
    }
}
