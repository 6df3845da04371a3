package io.persimmonstack.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.model.ModelVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetConfigurationTest {
    private static final Deployment DEPOSITS = new Deployment(
            "deposits", "reason", List.of("2", "1"), List.of("ar"), List.of("desk"), 0, 3, 1, 60.0, 30_000);
    private static final Deployment DISPUTES =
            new Deployment("disputes", "reason", List.of("2"), List.of(), List.of("mediation"), 5, 3, 1, 10.0, 60_000);
    private static final String KEY = CallerKey.key("desk", "s3cret");
    private static final FleetConfiguration CONFIGURATION = new FleetConfiguration(
            7,
            List.of(DEPOSITS, DISPUTES),
            List.of(CallerKey.of("desk", "salt", KEY)),
            List.of(new ServicePolicy("escrow", List.of("desk"), false, 5_000, 0)));

    @Test
    void decodingRestoresTheEncodedConfiguration() throws ConfigurationException {
        assertEquals(CONFIGURATION, ConfigurationCodec.decode(ConfigurationCodec.encode(CONFIGURATION)));
    }

    @Test
    void unknownFieldsOfANewerReleaseAreIgnored() throws ConfigurationException {
        String newer = new String(ConfigurationCodec.encode(CONFIGURATION), StandardCharsets.UTF_8)
                .replace("\"version\":7", "\"version\":7,\"later\":[1]");
        assertEquals(CONFIGURATION, ConfigurationCodec.decode(newer.getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{}",
                "{\"version\":null,\"deployments\":[],\"callers\":[],\"services\":[]}",
                "{\"version\":1,\"deployments\":null,\"callers\":[],\"services\":[]}",
                "{\"version\":1,\"deployments\":[null],\"callers\":[],\"services\":[]}"
            })
    void malformedOrIncompleteJsonIsRejected(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        assertThrows(ConfigurationException.class, () -> ConfigurationCodec.decode(bytes));
    }

    @Test
    void keyIdentifiesOnlyItsCaller() {
        assertEquals("desk", CONFIGURATION.callerWithKey(KEY).orElseThrow().caller());
        for (String other : List.of("", "desk", "desk.", "desk.S3cret", "other.s3cret", KEY + " ")) {
            assertTrue(CONFIGURATION.callerWithKey(other).isEmpty(), other);
        }
    }

    @Test
    void findsDeploymentsByCallerAndCapsAndVersionsByModel() {
        assertEquals(List.of(DEPOSITS), CONFIGURATION.deploymentsFor("desk", "reason"));
        assertEquals(List.of(), CONFIGURATION.deploymentsFor("desk", "other"));
        assertEquals(3, CONFIGURATION.replicaCap("reason"));
        assertEquals(0, CONFIGURATION.replicaCap("other"));
        assertEquals(
                Set.of(ModelVersion.of("reason", "1"), ModelVersion.of("reason", "2")), CONFIGURATION.modelVersions());
    }

    @Test
    void lastChangeVersionIsKeptAfterADeploymentIsRemoved() {
        FleetConfiguration first = FleetConfiguration.empty().withDeployments(List.of(DEPOSITS, DISPUTES));
        FleetConfiguration removed = first.withDeployments(List.of(DEPOSITS));
        FleetConfiguration later = removed.withCaller(CallerKey.of("desk", "salt", KEY));
        assertEquals(3, later.version());
        assertEquals(1, later.lastChangeVersion("deposits"));
        assertEquals(2, later.lastChangeVersion("disputes"));
        assertEquals(0, later.lastChangeVersion("other"));
    }
}
