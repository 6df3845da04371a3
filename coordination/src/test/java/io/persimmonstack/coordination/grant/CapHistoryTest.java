package io.persimmonstack.coordination.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CapHistoryTest {
    /**
     * Applied versions as version=cap, with "-" for a configuration without the model; then the cap of the last version
     * and the version since which it is known not to have changed.
     */
    @ParameterizedTest(name = "{0}: {1} since {2}")
    @CsvSource({
        "1=2, 2, 1",
        "1=2 2=2 3=2, 2, 1",
        "1=1 2=2, 2, 2",
        "1=1 2=2 3=1, 1, 3",
        "1=1 3=1, 1, 3",
        "7=1 8=1, 1, 7",
        "1=1 2=- 3=-, 0, 2",
        "1=- 2=- 3=1, 1, 3",
        "5=- 6=-, 0, 5",
        "1=1 2=- 3=1, 1, 3",
    })
    void capIsUnchangedSinceItsLastChangeOrMissedVersion(String versions, int cap, long unchangedSince) {
        CapHistory history = CapHistory.create();
        Stream.of(versions.split(" ")).map(entry -> entry.split("=")).forEach(entry -> {
            Map<String, Integer> caps = entry[1].equals("-") ? Map.of() : Map.of("summary", Integer.valueOf(entry[1]));
            history.apply(Long.parseLong(entry[0]), caps);
        });
        assertEquals(cap, history.cap("summary").replicas());
        assertEquals(unchangedSince, history.unchangedSince("summary"));
    }
}
