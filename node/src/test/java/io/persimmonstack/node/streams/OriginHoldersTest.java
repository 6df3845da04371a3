package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.Peer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OriginHoldersTest {
    private static final Map<String, Peer> TEN = Peers.numbered(10);

    private static List<Peer> holders(String request, Map<String, Peer> peers, String self) {
        return OriginHolders.ranked(request, peers, self, OriginHolders.COPIES);
    }

    private static List<Peer> asked(String request, Map<String, Peer> peers, String self) {
        return OriginHolders.ranked(request, peers, self, OriginHolders.ASKED);
    }

    @Test
    void thisNodeIsLeftOut() {
        for (int i = 0; i < 100; i++) {
            assertFalse(holders("r" + i, TEN, "n0").contains(TEN.get("n0")));
        }
        assertEquals(List.of(), holders("r", Peers.numbered(1), "n0"));
        assertEquals(1, holders("r", Peers.numbered(2), "n0").size());
    }

    private static void assertAsksAllHolders(String request, Map<String, Peer> listed, String asking) {
        List<Peer> asked = asked(request, listed, asking);
        holders(request, TEN, "n0")
                .forEach(holder -> assertTrue(
                        holder.node().equals(asking) || asked.contains(holder), request + " asked by " + asking));
    }

    @Test
    void everyNodeAsksAllHolders() {
        for (int i = 0; i < 200; i++) {
            for (String asking : TEN.keySet()) {
                assertAsksAllHolders("r" + i, TEN, asking);
            }
        }
    }

    @Test
    void holdersAreAskedAfterTheDeliveringNodeHasLeft() {
        Map<String, Peer> listed = Peers.without(TEN, TEN.get("n0"));
        for (int i = 0; i < 200; i++) {
            assertAsksAllHolders("r" + i, listed, "n9");
            assertAsksAllHolders("r" + i, Peers.with(listed, Peers.peer("joined", 1)), "n9");
        }
    }

    @Test
    void oneHolderIsAskedByANodeThatListsTheDeliveringNodeAndOneMore() {
        Map<String, Peer> more = Peers.with(TEN, Peers.peer("joined", 1));
        for (int i = 0; i < 200; i++) {
            List<Peer> asked = asked("r" + i, more, "n9");
            assertTrue(holders("r" + i, TEN, "n0").stream()
                    .anyMatch(holder -> holder.node().equals("n9") || asked.contains(holder)));
        }
    }

    @Test
    void allOtherNodesOfASmallFleetAreAsked() {
        Map<String, Peer> nine = Peers.numbered(9);
        assertEquals(Set.copyOf(Peers.without(nine, nine.get("n8")).values()), Set.copyOf(asked("r", nine, "n8")));
        assertEquals(OriginHolders.ASKED, asked("r", Peers.numbered(370), "n8").size());
    }

    @Test
    void copiesAreSpreadOverAllNodes() {
        Map<String, Long> copies = IntStream.range(0, 10_000)
                .boxed()
                .flatMap(i -> holders("r" + i, TEN, "n0").stream())
                .collect(Collectors.groupingBy(Peer::node, Collectors.counting()));
        assertEquals(Set.of("n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"), copies.keySet());
        assertTrue(copies.values().stream().allMatch(count -> count > 2_000 && count < 2_450), copies.toString());
    }

    @Test
    void onlyTheHoldersOfANodeThatLeavesChange() {
        Peer left = TEN.get("n4");
        for (int i = 0; i < 200; i++) {
            List<Peer> before = holders("r" + i, TEN, "n0");
            List<Peer> after = holders("r" + i, Peers.without(TEN, left), "n0");
            assertEquals(before.contains(left), !before.equals(after));
        }
    }
}
