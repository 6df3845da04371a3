package io.persimmonstack.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTest {
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e");
    private final FakeNetwork network = new FakeNetwork(11);

    private void startAll() {
        NODES.forEach(node -> network.start(node, 1, "south"));
        NODES.forEach(node -> network.member(node).join(List.of("a")));
        network.rounds(3);
    }

    @Test
    void membersThatJoinThroughOneSeedKnowEachOther() {
        startAll();
        for (String node : NODES) {
            Set<String> known = network.member(node).liveMembers().stream()
                    .map(Member::node)
                    .collect(Collectors.toSet());
            assertEquals(Set.copyOf(NODES), known, node);
        }
    }

    /** Status of member e as seen by the others, by fault and number of rounds (seconds) since. */
    @ParameterizedTest(name = "{0} after {1} rounds: {2}")
    @CsvSource({
        "stopped, 5, SUSPECT|DEAD",
        "stopped, 16, DEAD",
        "stopped, 90, forgotten",
        "cut from all, 16, DEAD",
        "cut from a and b, 30, ALIVE",
        "left and stopped, 1, DEAD",
        "leaving, 8, LEAVING",
        "healed before refuting, 10, ALIVE",
        "restarted, 10, ALIVE",
    })
    void othersDetectFaultOfOneMember(String fault, int rounds, String expected) {
        startAll();
        injectFault(fault);
        network.rounds(rounds);
        for (String observer : List.of("a", "b", "c", "d")) {
            String status = String.valueOf(network.statusSeenBy(observer, "e")).replace("null", "forgotten");
            assertTrue(
                    List.of(expected.split("\\|")).contains(status), observer + " sees the status of e as " + status);
        }
    }

    private void injectFault(String fault) {
        switch (fault) {
            case "stopped" -> network.stop("e");
            case "cut from all" -> List.of("a", "b", "c", "d").forEach(node -> network.cut("e", node));
            case "cut from a and b" -> List.of("a", "b").forEach(node -> network.cut("e", node));
            case "left and stopped" -> {
                network.member("e").announceStop();
                network.stop("e");
            }
            case "leaving" -> network.member("e").leave();
            case "healed before refuting" -> {
                List.of("a", "b", "c", "d").forEach(node -> network.cut("e", node));
                network.rounds(3);
                network.heal();
            }
            case "restarted" -> {
                network.stop("e");
                network.rounds(2);
                network.start("e", 2, "south").join(List.of("a"));
            }
            default -> throw new IllegalArgumentException(fault);
        }
    }

    @Test
    void partitionedHalvesMergeAfterHealing() {
        startAll();
        for (String left : List.of("a", "b")) {
            List.of("c", "d", "e").forEach(right -> network.cut(left, right));
        }
        network.rounds(20);
        assertEquals(MemberStatus.DEAD, network.statusSeenBy("a", "c"));
        assertEquals(MemberStatus.DEAD, network.statusSeenBy("e", "b"));
        network.heal();
        network.rounds(30);
        for (String observer : NODES) {
            NODES.forEach(node ->
                    assertEquals(MemberStatus.ALIVE, network.statusSeenBy(observer, node), observer + " of " + node));
        }
    }

    @Test
    void processWithLowerIncarnationJoinsAboveItsPredecessor() {
        startAll();
        network.stop("e");
        Membership<String, String> restarted = network.start("e", 0, "south");
        restarted.join(List.of("a"));
        assertEquals(2, restarted.self().incarnation());
    }

    @Test
    void allMembersKeepTheNewestAnnouncementOfARunner() {
        startAll();
        network.member("a").announce(new Announcement<>("runner-1", 3, 1, "new owner"));
        network.member("b").announce(new Announcement<>("runner-1", 2, 9, "old owner"));
        network.rounds(10);
        for (String node : NODES) {
            List<String> states = network.member(node).announcements().stream()
                    .map(Announcement::state)
                    .toList();
            assertEquals(List.of("new owner"), states, node);
        }
    }

    @Test
    void unknownDeadMemberIsIgnored() {
        Membership<String, String> member = network.start("a", 1, "south");
        Member<String> dead = new Member<>("z", 1, 1, MemberStatus.DEAD, new Locality("x", "y"), "z", "");
        member.onDeliver(member.self(), new Updates<>(List.of(dead), List.of(), 0));
        assertNull(network.statusSeenBy("a", "z"));
    }
}
