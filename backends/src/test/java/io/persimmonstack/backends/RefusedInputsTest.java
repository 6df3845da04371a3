package io.persimmonstack.backends;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class RefusedInputsTest {
    /** Guards against a crowd that fills the log: every refusal counts, but only one a second is a line. */
    @Test
    void linesAreBoundedAndCountersAreNot() {
        MetricRegistry registry = new MetricRegistry();
        AtomicLong nanos = new AtomicLong(5);
        RefusedInputs refusals = RefusedInputs.of(registry, nanos::get);
        assertTrue(refusals.record("link-memory"));
        assertFalse(refusals.record("link-memory"));
        nanos.addAndGet(1_000_000_000);
        assertTrue(refusals.record("link-memory"));
        assertEquals(3, registry.counter("input.refused.link-memory").getCount());
    }
}
