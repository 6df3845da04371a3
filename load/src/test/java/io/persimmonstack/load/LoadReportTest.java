package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    private static final LedgerSummary EMPTY_LEDGER =
            new LedgerSummary(Set.of(), Map.of(), Map.of(), 0, 0, 0, Optional.empty(), List.of(), List.of());

    /**
     * Routers append a suffix to the caller's identifier; with it, requests falsely refused as not run go unnoticed.
     */
    @Test
    void clientRequestIdDropsTheSuffixOfTheRouter() {
        assertEquals("cold-17", LedgerReader.clientRequestId("cold-17.entry-1-mfx3k-9"));
        assertEquals("a.b", LedgerReader.clientRequestId("a.b.entry-1-mfx3k-9"));
        assertEquals("plain", LedgerReader.clientRequestId("plain"));
    }

    /** A refusal only concerns its own request; that an earlier one with the same key ran is counted separately. */
    @Test
    void keyIsCountedAsFalselyRefusedWhenAnyOfItsRequestsRan() {
        LoadResult result = new LoadResult();
        result.addRefusedKey(List.of("first", "repeat"));
        result.addRefusedKey(List.of("third"));
        assertEquals(1, result.countKeysFalselyRefused(Set.of("first")));
        assertEquals(0, result.countKeysFalselyRefused(Set.of("other")));
    }

    @Test
    void droppedRequestIsAViolationUnlessRoutersMayDie() {
        LoadResult result = new LoadResult();
        result.warm().count("first", new RequestOutcome.Dropped("connection reset"), false);
        assertEquals(
                List.of("1 requests dropped (warm)"),
                LoadReport.of(result, EMPTY_LEDGER, Map.of(), false).violations());
        assertEquals(
                List.of(), LoadReport.of(result, EMPTY_LEDGER, Map.of(), true).violations());
    }

    @Test
    void loadBeyondEngineMemoryIsAViolation() {
        LedgerSummary ledger =
                new LedgerSummary(Set.of(), Map.of(), Map.of(), 2, 0, 0, Optional.empty(), List.of(), List.of());
        assertEquals(
                List.of("2 loads ordered beyond the memory of an engine"),
                LoadReport.of(new LoadResult(), ledger, Map.of(), false).violations());
    }
}
