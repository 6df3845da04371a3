package io.persimmonstack.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OutageTolerantEntriesTest {
    private final OutageTolerantEntries<String> entries = OutageTolerantEntries.withGracePeriod(100);

    @Test
    void removesEntryImmediatelyWhenThereWasNoOutage() {
        entries.put("a", "1");
        assertTrue(entries.remove("a", 5));
        assertTrue(entries.entries().isEmpty());
    }

    @Test
    void keepsEntryRemovedAroundAnOutageUntilTheGracePeriodEnds() {
        entries.put("a", "1");
        entries.storeUnavailable(10);
        assertFalse(entries.remove("a", 20));
        assertEquals(List.of(), entries.expire(109));
        assertEquals(List.of("a"), entries.expire(110));
    }

    @Test
    void keepsEntryThatIsWrittenAgain() {
        entries.put("a", "1");
        entries.storeUnavailable(10);
        entries.remove("a", 20);
        entries.put("a", "1");
        assertEquals(List.of(), entries.expire(500));
        assertEquals(Set.of("a"), entries.entries().keySet());
    }

    @Test
    void secondOutageExtendsTheGracePeriod() {
        entries.put("a", "1");
        entries.storeUnavailable(10);
        entries.storeUnavailable(60);
        entries.remove("a", 70);
        assertEquals(List.of(), entries.expire(150));
        assertEquals(List.of("a"), entries.expire(160));
    }

    @Test
    void putReportsOnlyNewOrChangedEntries() {
        assertTrue(entries.put("a", "1"));
        assertFalse(entries.put("a", "1"));
        assertTrue(entries.put("a", "2"));
    }
}
