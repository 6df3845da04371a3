package io.persimmonstack.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against received data beyond its memory, and against large requests that keep small ones out. */
class ReceiveMemoryTest {
    private static final long CAPACITY = 4 << 20;
    private final ReceiveMemory memory = ReceiveMemory.ofBytes(CAPACITY);

    private boolean reserve(long bytes) {
        return memory.open().tryAdd(bytes);
    }

    @Test
    void smallReservationsFitWhenLargeOnesFillTheirPart() {
        assertTrue(reserve(1 << 20));
        assertTrue(reserve(1 << 20));
        assertTrue(reserve(1 << 20));
        assertFalse(reserve(1 << 20));
        for (int i = 0; i < 16; i++) {
            assertTrue(reserve(ReceiveMemory.SMALL_BYTES));
        }
        assertFalse(reserve(1));
        assertEquals(CAPACITY, memory.usedBytes());
    }

    @Test
    void reservationThatGrowsLargeIsBoundedAsOne() {
        assertTrue(reserve(3 << 20));
        ReceiveMemory.Reservation growing = memory.open();
        assertTrue(growing.tryAdd(ReceiveMemory.SMALL_BYTES));
        assertFalse(growing.tryAdd(1));
        assertEquals((3 << 20) + ReceiveMemory.SMALL_BYTES, memory.usedBytes());
    }

    @Test
    void singleReservationMayBeOfAnySize() {
        ReceiveMemory.Reservation alone = memory.open();
        assertTrue(alone.tryAdd(CAPACITY));
        assertTrue(alone.tryAdd(CAPACITY));
        assertFalse(reserve(1));
        alone.close();
        assertEquals(0, memory.usedBytes());
        assertTrue(reserve(1));
    }

    @Test
    void closedReservationHoldsNothing() {
        ReceiveMemory.Reservation closed = memory.open();
        assertTrue(closed.tryAdd(100));
        closed.close();
        closed.close();
        closed.giveBack(100);
        assertFalse(closed.tryAdd(1));
        assertEquals(0, memory.usedBytes());
    }

    @Test
    void shortageIsReportedFromItsTimeOn() {
        long before = System.nanoTime();
        assertFalse(memory.wasShortSince(before));
        assertTrue(reserve(3 << 20));
        assertFalse(reserve(3 << 20));
        assertTrue(memory.wasShortSince(before));
        assertFalse(memory.wasShortSince(System.nanoTime() + 1));
    }
}
