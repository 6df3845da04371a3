package io.persimmonstack.standin.kv;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** JSON request and response bodies of the etcd v3 gateway, limited to the fields that the stand-in uses. */
final class KvApiMessages {
    private KvApiMessages() {}

    record Header(String revision) {}

    record KeyValue(
            String key,
            String value,
            @JsonProperty("mod_revision") String modRevision,
            @JsonProperty("create_revision") String createRevision) {}

    record RangeRequest(
            String key, @JsonProperty("range_end") String rangeEnd, String limit, String revision) {}

    record RangeResponse(Header header, List<KeyValue> kvs, Boolean more, String count) {}

    record Compare(
            String key,
            String target,
            String result,
            @JsonProperty("mod_revision") String modRevision) {}

    record Put(String key, String value) {}

    record Operation(Put requestPut, RangeRequest requestDeleteRange, RangeRequest requestRange) {}

    record TxnRequest(List<Compare> compare, List<Operation> success, List<Operation> failure) {}

    record OperationResponse(
            @JsonProperty("response_put") RangeResponse responsePut,
            @JsonProperty("response_delete_range") RangeResponse responseDeleteRange,
            @JsonProperty("response_range") RangeResponse responseRange) {}

    record TxnResponse(Header header, Boolean succeeded, List<OperationResponse> responses) {}

    record WatchRequest(@JsonProperty("create_request") WatchCreate createRequest) {}

    record WatchCreate(
            String key,
            @JsonProperty("range_end") String rangeEnd,
            @JsonProperty("start_revision") String startRevision) {}

    record WatchEvent(String type, KeyValue kv) {}

    record WatchResult(Header header, Boolean created, List<WatchEvent> events) {}

    record WatchLine(WatchResult result) {}

    record ErrorBody(String error, int code, String message) {}

    record Ledger(
            long reads,
            long writes,
            long watches,
            int openWatches,
            long peakReadsPerSecond,
            long peakWritesPerSecond,
            long revision,
            int keys) {}
}
