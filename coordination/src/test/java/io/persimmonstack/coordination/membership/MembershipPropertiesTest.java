package io.persimmonstack.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class MembershipPropertiesTest {
    private static final int ROUNDS_TO_CONVERGE = 60;

    /** After any sequence of cut links all members see each other alive again once the links work. */
    @Property(tries = 40, seed = "4711")
    void viewsConvergeAfterArbitraryCuts(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 9) int size,
            @ForAll @IntRange(min = 0, max = 30) int faults) {
        FakeNetwork network = new FakeNetwork(seed);
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            nodes.add("n" + i);
            network.start("n" + i, 1, i % 2 == 0 ? "south" : "north").join(List.of("n0"));
        }
        Random random = new Random(seed);
        for (int i = 0; i < faults; i++) {
            network.cut(nodes.get(random.nextInt(size)), nodes.get(random.nextInt(size)));
            network.round();
        }
        network.heal();
        network.rounds(ROUNDS_TO_CONVERGE);
        for (String observer : nodes) {
            nodes.forEach(node ->
                    assertEquals(MemberStatus.ALIVE, network.statusSeenBy(observer, node), observer + " of " + node));
        }
    }

    /** An entry is replaced by newer entries only, in whatever order entries arrive. */
    @Property(tries = 200, seed = "4711")
    void olderEntriesNeverReplaceNewerOnes(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        MemberTable<String> table = new MemberTable<>();
        Member<String> last = null;
        for (int i = 0; i < 50; i++) {
            Member<String> entry = new Member<>(
                    "n",
                    random.nextInt(3),
                    random.nextInt(4),
                    MemberStatus.values()[random.nextInt(4)],
                    new Locality("z", "r"),
                    "n",
                    "");
            boolean merged = table.merge(entry, i);
            if (last != null) {
                assertEquals(entry.supersedes(last), merged);
                assertTrue(!last.supersedes(table.find("n").orElseThrow()));
            }
            last = table.find("n").orElse(null);
        }
    }
}
