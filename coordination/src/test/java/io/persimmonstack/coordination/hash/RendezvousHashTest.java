package io.persimmonstack.coordination.hash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    private static final List<String> NODES =
            IntStream.range(0, 30).mapToObj(i -> "node-" + i).toList();

    @Test
    void rankingIsTheOrderInWhichNodesArePreferredAsOthersLeave() {
        for (int key = 0; key < 100; key++) {
            List<String> remaining = new ArrayList<>(NODES);
            for (String node : RendezvousHash.ranked("key-" + key, NODES)) {
                assertEquals(
                        node, RendezvousHash.preferred("key-" + key, remaining).orElseThrow());
                remaining.remove(node);
            }
        }
    }

    @Test
    void rankingIsTheSameOnEveryNodeAndVersion() {
        assertEquals(List.of("a", "b", "c"), RendezvousHash.ranked("runner-7", List.of("c", "b", "a")));
    }
}
