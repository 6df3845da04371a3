package io.persimmonstack.ctl.explain;

import io.persimmonstack.runtime.TextTable;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;

/**
 * Refused request, as a router's admin port returns it.
 *
 * @param request identifier of the request
 * @param atMs wall-clock time of the refusal, milliseconds since 1970-01-01 UTC
 * @param asked model that the caller named, or {@code service:} and the name of the service
 * @param policy deployment or service whose policy applied, empty if none did
 * @param caller name of the caller, empty if it was not identified
 * @param code code of the problem document
 * @param ran whether the request ran: {@code no} or {@code unknown}
 * @param reason detail of the problem document
 * @param waitedMs time from the arrival of the request to its refusal, in milliseconds
 */
public record RefusedRequest(
        String request,
        long atMs,
        String asked,
        String policy,
        String caller,
        String code,
        String ran,
        String reason,
        long waitedMs) {
    private static final int MAX_ROWS = 20;

    /** Returns the newest refusals as a table, newest first, at most {@value #MAX_ROWS}. */
    public static String table(List<RefusedRequest> refusals) {
        TextTable table =
                TextTable.of("REFUSED AT", "REQUEST", "CALLER", "ASKED FOR", "CODE", "RAN", "AFTER MS", "REASON");
        refusals.stream()
                .sorted(Comparator.comparingLong(RefusedRequest::atMs).reversed())
                .limit(MAX_ROWS)
                .forEach(refused -> table.row(
                        Instant.ofEpochMilli(refused.atMs()),
                        refused.request(),
                        refused.caller().isEmpty() ? "?" : refused.caller(),
                        refused.asked(),
                        refused.code(),
                        refused.ran(),
                        refused.waitedMs(),
                        refused.reason()));
        return table.text();
    }
}
