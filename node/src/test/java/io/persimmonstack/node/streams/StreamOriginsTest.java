package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private static final StreamOrigin V1 = new StreamOrigin("chat", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("chat", "v2");
    private final StreamOrigins origins = StreamOrigins.create();

    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void originIsFoundWhileItIsValid() {
        origins.keep("a", V1, 1_000, atMs(0));
        assertEquals(Optional.of(V1), origins.find("a", atMs(999)));
        assertEquals(Optional.empty(), origins.find("a", atMs(1_000)));
        assertEquals(Optional.empty(), origins.find("b", atMs(0)));
    }

    @Test
    void firstOriginStaysAndBecomesValidForLonger() {
        origins.keep("a", V1, 1_000, atMs(0));
        origins.keep("a", V2, 1_000, atMs(500));
        assertEquals(Optional.of(V1), origins.find("a", atMs(1_400)));
    }

    @Test
    void shorterValidityDoesNotShortenTheFirst() {
        origins.keep("a", V1, 1_000, atMs(0));
        origins.keep("a", V1, 10, atMs(1));
        assertEquals(Optional.of(V1), origins.find("a", atMs(999)));
    }

    @Test
    void originMayBeReplacedOnceItIsNoLongerValid() {
        origins.keep("a", V1, 1_000, atMs(0));
        origins.keep("a", V2, 1_000, atMs(1_000));
        assertEquals(Optional.of(V2), origins.find("a", atMs(1_001)));
    }

    @Test
    void copyBearsTheRestOfTheValidity() {
        origins.keep("a", V1, 1_000, atMs(0));
        assertEquals(
                600, origins.findCopy("a", atMs(400)).map(OriginCopy::validMs).orElseThrow());
    }

    @Test
    void validityIsBounded() {
        origins.keep("a", V1, Long.MAX_VALUE, atMs(0));
        origins.keep("b", V1, -1, atMs(0));
        assertEquals(Optional.of(V1), origins.find("a", atMs(StreamOrigins.MAX_VALID_MS - 1)));
        assertEquals(Optional.empty(), origins.find("a", atMs(StreamOrigins.MAX_VALID_MS)));
        assertEquals(Optional.empty(), origins.find("b", atMs(0)));
    }

    @Test
    void numberIsBoundedAndTheOldestGoFirst() {
        for (int i = 0; i < StreamOrigins.MAX_ORIGINS; i++) {
            origins.keep("a" + i, V1, 1_000, atMs(0));
        }
        origins.keep("a0", V1, 1_000, atMs(1));
        origins.keep("b", V2, 1_000, atMs(1));
        assertEquals(StreamOrigins.MAX_ORIGINS, origins.size());
        assertTrue(origins.find("a0", atMs(1)).isPresent());
        assertTrue(origins.find("a1", atMs(1)).isEmpty());
        assertTrue(origins.find("b", atMs(1)).isPresent());
    }

    @Test
    void originsThatAreNoLongerValidAreRemoved() {
        for (int i = 0; i < 100; i++) {
            origins.keep("a" + i, V1, 1_000, atMs(0));
        }
        origins.keep("b", V1, 1_000, atMs(2_000));
        assertEquals(1, origins.size());
    }
}
