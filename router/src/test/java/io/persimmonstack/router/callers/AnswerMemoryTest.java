package io.persimmonstack.router.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against slow readers whose answers together fill the heap. */
class AnswerMemoryTest {
    private static final long BYTES = 1 << 20;
    private final AnswerMemory memory = AnswerMemory.ofBytes(BYTES);
    private final List<String> disconnected = new ArrayList<>();

    private AnswerMemory.Held hold(String reader, long bytes) {
        return memory.hold(bytes, () -> disconnected.add(reader));
    }

    @Test
    void readerThatHasWaitedLongestIsDisconnectedForANewOne() {
        for (int i = 0; i < 100; i++) {
            hold("r" + i, BYTES / 4);
            assertTrue(memory.usedBytes() <= BYTES);
        }
        assertEquals(97, disconnected.size());
        assertEquals("r0", disconnected.getFirst());
    }

    @Test
    void nobodyIsDisconnectedIfEachTakesItsPart() {
        for (int i = 0; i < 100; i++) {
            hold("r" + i, BYTES / 2).close();
        }
        assertEquals(List.of(), disconnected);
        assertEquals(0, memory.usedBytes());
    }

    @Test
    void singleAnswerMayBeLargerThanTheMemory() {
        hold("large", 2 * BYTES);
        assertEquals(List.of(), disconnected);
    }
}
