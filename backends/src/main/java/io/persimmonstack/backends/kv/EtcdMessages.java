package io.persimmonstack.backends.kv;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

/** Bodies of the etcd v3 JSON gateway: bytes in base64, 64-bit numbers as strings, defaults left out. */
final class EtcdMessages {
    private EtcdMessages() {}

    static String encode(String key) {
        return encode(key.getBytes(StandardCharsets.UTF_8));
    }

    static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** Returns the end of the range of all keys with a prefix: the prefix with its last byte raised by one. */
    static String encodedRangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        return encode(end);
    }

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record RangeRequest(
            String key, @JsonProperty("range_end") String rangeEnd, String limit, String revision) {
        static RangeRequest ofKey(String encodedKey) {
            return new RangeRequest(encodedKey, null, null, null);
        }

        /** Returns a request for one page; revision 0 stands for the newest. */
        static RangeRequest page(String encodedFrom, String encodedEnd, int limit, long revision) {
            return new RangeRequest(
                    encodedFrom, encodedEnd, Integer.toString(limit), revision == 0 ? null : Long.toString(revision));
        }
    }

    record RangeResponse(Header header, List<KeyValue> kvs, Boolean more) {
        boolean hasMore() {
            return Boolean.TRUE.equals(more);
        }
    }

    record Header(long revision) {}

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

    record TxnRequest(List<Compare> compare, List<Operation> success, List<Operation> failure) {}

    record Compare(
            String key,
            String target,
            String result,
            @JsonProperty("mod_revision") String modRevision) {
        static Compare modRevision(String encodedKey, long revision) {
            return new Compare(encodedKey, "MOD", "EQUAL", Long.toString(revision));
        }
    }

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

    record PutRequest(String key, String value) {}

    record TxnResponse(Header header, Boolean succeeded, List<OperationResponse> responses) {
        boolean applied() {
            return Boolean.TRUE.equals(succeeded);
        }
    }

    record OperationResponse(@JsonProperty("response_range") RangeResponse responseRange) {}

    record WatchRequest(@JsonProperty("create_request") WatchCreate createRequest) {}

    record WatchCreate(
            String key,
            @JsonProperty("range_end") String rangeEnd,
            @JsonProperty("start_revision") String startRevision,
            @JsonProperty("progress_notify") boolean progressNotify) {}

    record WatchLine(WatchResult result) {}

    record WatchResult(Header header, Boolean created, Boolean canceled, List<WatchEvent> events) {
        boolean isCreated() {
            return Boolean.TRUE.equals(created);
        }

        boolean isCanceled() {
            return Boolean.TRUE.equals(canceled);
        }
    }

    record WatchEvent(String type, KeyValue kv) {
        KvChange toChange() {
            return "DELETE".equals(type)
                    ? new KvChange.Deleted(kv.decodedKey(), kv.modRevision())
                    : new KvChange.Written(kv.toEntry());
        }
    }
}
