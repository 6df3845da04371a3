package io.persimmonstack.backends.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class KeepAliveTest {
    @Test
    void connectionIsLeftBeforeTheOtherSideClosesIt() {
        assertEquals(OptionalInt.of(4_500), KeepAlive.idleMs("timeout=5, max=100"));
        assertEquals(OptionalInt.of(500), KeepAlive.idleMs("max=3; Timeout=1"));
    }

    @Test
    void nothingIsAssumedWhereNothingIsStated() {
        assertEquals(OptionalInt.empty(), KeepAlive.idleMs(null));
        assertEquals(OptionalInt.empty(), KeepAlive.idleMs("max=100"));
        assertEquals(OptionalInt.empty(), KeepAlive.idleMs("mytimeout=3"));
    }
}
