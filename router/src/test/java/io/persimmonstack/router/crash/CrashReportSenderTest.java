package io.persimmonstack.router.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against nodes that never hear of runners that ended. */
class CrashReportSenderTest {
    private static final int LARGE_FLEET = 20;

    /** Failure: in a large fleet some nodes never heard of the ends, since some that were to pass it on were silent. */
    @ParameterizedTest
    @ValueSource(ints = {2, 7, 95, 370})
    void reportsReachAllNodes(int size) {
        List<String> names =
                IntStream.range(0, size).mapToObj(i -> "front-" + i).toList();
        List<String> alive = names.stream()
                .filter(name -> size < LARGE_FLEET || name.hashCode() % 10 != 0)
                .toList();
        List<String> reached = new ArrayList<>(List.of(alive.getFirst()));
        for (int i = 0; i < reached.size(); i++) {
            CrashReportSender.receivers(reached.get(i), Set.copyOf(names)).stream()
                    .filter(alive::contains)
                    .filter(name -> !reached.contains(name))
                    .forEach(reached::add);
        }
        assertEquals(alive.size(), reached.size());
    }
}
