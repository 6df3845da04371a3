package io.persimmonstack.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Faults of the links between two regions: each region must keep its own members and disseminate its own announcements
 * of runners.
 */
class RegionFaultTest {
    private static final Map<String, List<String>> REGIONS =
            Map.of("north", List.of("n1", "n2", "n3"), "south", List.of("s1", "s2", "s3"));
    private static final List<String> NODES =
            REGIONS.values().stream().flatMap(List::stream).sorted().toList();
    private final FakeNetwork network = new FakeNetwork(20261203);

    /**
     * The last column is the status of a member of the other region after the fault has lasted the given rounds
     * (seconds); "?" is not checked.
     */
    @ParameterizedTest(name = "{0} for {1} rounds: other region {2}")
    @CsvSource({
        "cut, 3, ?",
        "cut, 30, DEAD",
        "cut, 300, forgotten",
        "cut from north to south, 30, ?",
        "delayed, 30, ?",
        "delayed, 300, ?",
        "one link left, 30, ALIVE|SUSPECT",
    })
    void eachRegionKeepsItsMembersAndRunners(String fault, int rounds, String otherRegionStatus) {
        start();
        String ownerBefore = preferredOwner("north");
        injectFault(fault);
        for (int round = 0; round < rounds; round++) {
            announce("north", 2 + round);
            announce("south", 2 + round);
            network.round();
            checkEachRegionSeesItsMembers(ownerBefore);
        }
        network.rounds(3);
        for (String region : REGIONS.keySet()) {
            checkRunners(region, "state " + (1 + rounds));
        }
        if (!otherRegionStatus.equals("?")) {
            String status = String.valueOf(network.statusSeenBy("n1", "s2")).replace("null", "forgotten");
            assertTrue(
                    List.of(otherRegionStatus.split("\\|")).contains(status), "n1 sees the status of s2 as " + status);
        }
        network.heal();
        checkRegionsConverge(rounds);
    }

    private void start() {
        REGIONS.forEach((region, nodes) -> nodes.forEach(node -> network.start(node, 1, region)));
        NODES.forEach(node -> network.member(node).join(List.of("n1")));
        announce("north", 1);
        announce("south", 1);
        network.rounds(5);
    }

    /** Announces the next state of a region's runner, which the first node of the region owns. */
    private void announce(String region, long sequence) {
        Announcement<String> state = new Announcement<>("runner of " + region, 1, sequence, "state " + sequence);
        network.member(REGIONS.get(region).get(0)).announce(state);
    }

    private void injectFault(String fault) {
        for (String north : REGIONS.get("north")) {
            for (String south : REGIONS.get("south")) {
                switch (fault) {
                    case "cut" -> network.cut(north, south);
                    case "cut from north to south" -> network.cutOneWay(north, south);
                    case "delayed" -> network.delay(north, south);
                    default -> {
                        if (!(north + south).equals("n3s3")) {
                            network.cut(north, south);
                        }
                    }
                }
            }
        }
    }

    private void checkEachRegionSeesItsMembers(String ownerBefore) {
        for (List<String> nodes : REGIONS.values()) {
            for (String observer : nodes) {
                assertEquals(
                        nodes,
                        live(observer).stream().filter(nodes::contains).sorted().toList(),
                        observer);
            }
        }
        assertEquals(ownerBefore, preferredOwner("north"));
    }

    private void checkRunners(String region, String newestState) {
        for (String node : REGIONS.get(region)) {
            Optional<String> state = network.member(node).announcements().stream()
                    .filter(announcement -> announcement.subject().equals("runner of " + region))
                    .map(Announcement::state)
                    .findFirst();
            assertEquals(Optional.of(newestState), state, node);
        }
    }

    private List<String> live(String observer) {
        return network.member(observer).liveMembers().stream().map(Member::node).toList();
    }

    /** Returns the preferred owner of a region's runner among the members that the region's last node sees alive. */
    private String preferredOwner(String region) {
        List<String> live = live(REGIONS.get(region).get(2)).stream()
                .filter(REGIONS.get(region)::contains)
                .toList();
        return RendezvousHash.preferred("runner of " + region, live).orElseThrow();
    }

    /** Checks that both regions merge again through the addresses in the host list and agree on all runners. */
    private void checkRegionsConverge(int rounds) {
        for (int round = 0; round < 60; round++) {
            network.round();
            Stream.of("n2", "s2").forEach(node -> network.member(node).synchronizeRound(List.of("n1", "s1")));
        }
        for (String observer : NODES) {
            NODES.forEach(node ->
                    assertEquals(MemberStatus.ALIVE, network.statusSeenBy(observer, node), observer + " of " + node));
        }
        REGIONS.keySet()
                .forEach(region -> REGIONS.values()
                        .forEach(nodes -> nodes.forEach(node -> {
                            List<String> states = network.member(node).announcements().stream()
                                    .map(Announcement::state)
                                    .distinct()
                                    .toList();
                            assertEquals(List.of("state " + (1 + rounds)), states, node + " of the runners");
                        })));
    }
}
