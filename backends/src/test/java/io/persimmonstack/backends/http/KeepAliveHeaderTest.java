package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class KeepAliveHeaderTest {
    @Test
    void idleTimeEndsBeforeThePeersTimeout() {
        assertEquals(OptionalInt.of(4_500), KeepAliveHeader.maxIdleMs("timeout=5, max=100"));
        assertEquals(OptionalInt.of(500), KeepAliveHeader.maxIdleMs("max=3; Timeout=1"));
    }

    @Test
    void idleTimeIsEmptyWithoutATimeoutParameter() {
        assertEquals(OptionalInt.empty(), KeepAliveHeader.maxIdleMs(null));
        assertEquals(OptionalInt.empty(), KeepAliveHeader.maxIdleMs("max=100"));
        assertEquals(OptionalInt.empty(), KeepAliveHeader.maxIdleMs("mytimeout=3"));
    }
}
