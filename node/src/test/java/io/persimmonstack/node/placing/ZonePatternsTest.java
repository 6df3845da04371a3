package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Patterns of demand in four zones: how many requests leave their zone, and what that gains and costs. */
class ZonePatternsTest {
    private static final long COUNT_FROM_MS = 10_000;
    private static final long END_MS = 70_000;

    private static ZoneSimulation play(ZoneSimulation.Choice choice, ZoneSimulation.Demand demand, long seed) {
        ZoneSimulation simulation = new ZoneSimulation(choice, seed);
        simulation.run(0, END_MS, demand, COUNT_FROM_MS);
        return simulation;
    }

    /** One zone has half as many requests again as its runners can serve, the others have room. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void overloadedZoneSendsWhatIsTooMuchAndTheOthersNothing(long seed) {
        ZoneSimulation.Demand demand = (zone, nowMs) -> zone == 0 ? 1.5 : 0.6;
        ZoneSimulation decided = play(ZoneSimulation.Choice.DECIDED, demand, seed);
        ZoneSimulation home = play(ZoneSimulation.Choice.HOME_ONLY, demand, seed);
        ZoneSimulation any = play(ZoneSimulation.Choice.ANY, demand, seed);
        String figures = decided + "; " + home + "; " + any;
        assertTrue(decided.leftShare(0) > 1 - 1 / 1.5 && decided.leftShare(0) < 0.6, figures);
        for (int zone = 1; zone < ZoneSimulation.ZONES; zone++) {
            assertTrue(decided.leftShare(zone) < 0.03, figures);
        }
        assertTrue(decided.lostShare() == 0, figures);
        assertTrue(decided.meanMs() < 0.5 * home.meanMs(), figures);
        assertTrue(decided.meanMs() < 1.1 * any.meanMs(), figures);
        assertTrue(decided.shareDeviation() < 0.2, figures);
        assertTrue(decided.shareChanges() <= 3 * ZoneSimulation.NODES, figures);
    }

    /**
     * All zones are equally full or over: leaving gains nothing, so that nobody pays for it. At nine tenths, one zone
     * or the other is full for a moment by chance.
     */
    @ParameterizedTest
    @CsvSource({"0.6, 0.01, 1", "0.6, 0.01, 2", "0.9, 0.15, 1", "0.9, 0.15, 2", "1.2, 0.01, 1", "1.2, 0.01, 2"})
    void nobodyLeavesWhenAllZonesAreFullAlike(double load, double maxLeft, long seed) {
        ZoneSimulation decided = play(ZoneSimulation.Choice.DECIDED, (zone, nowMs) -> load, seed);
        ZoneSimulation home = play(ZoneSimulation.Choice.HOME_ONLY, (zone, nowMs) -> load, seed);
        String figures = load + " " + decided + "; " + home;
        assertTrue(decided.leftShare() < maxLeft, figures);
        assertTrue(decided.lostShare() <= home.lostShare() + 0.01, figures);
        assertTrue(decided.meanMs() <= 1.1 * home.meanMs(), figures);
    }

    /** The demand moves around the zones once in 13 s: the share must follow it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shareFollowsDemandThatMovesFromZoneToZone(long seed) {
        ZoneSimulation.Demand demand = (zone, nowMs) ->
                0.7 * (1 + 0.8 * Math.sin(2 * Math.PI * (nowMs / 13_000.0 + (double) zone / ZoneSimulation.ZONES)));
        ZoneSimulation decided = play(ZoneSimulation.Choice.DECIDED, demand, seed);
        ZoneSimulation home = play(ZoneSimulation.Choice.HOME_ONLY, demand, seed);
        ZoneSimulation any = play(ZoneSimulation.Choice.ANY, demand, seed);
        String figures = decided + "; " + home + "; " + any;
        assertTrue(decided.meanMs() < 0.75 * home.meanMs(), figures);
        assertTrue(decided.lostShare() <= home.lostShare(), figures);
        assertTrue(decided.leftShare() < 0.6 * any.leftShare(), figures);
    }

    /** The connections from the overloaded zone to another one fail: hardly any request may be sent that way. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void zoneWhoseLinkFailsIsLeftOut(long seed) {
        ZoneSimulation.Demand demand = (zone, nowMs) -> zone == 0 ? 1.3 : 0.5;
        ZoneSimulation simulation = new ZoneSimulation(ZoneSimulation.Choice.DECIDED, seed);
        simulation.run(0, 20_000, demand, 0);
        simulation.cut(0, 1, true);
        simulation.run(20_000, 60_000, demand, 22_000);
        String figures = simulation.sentOverCutLink() + " over the link; " + simulation;
        assertTrue(simulation.sentOverCutLink() < ZoneSimulation.NODES / ZoneSimulation.ZONES * 15, figures);
        assertTrue(simulation.lostShare() < 0.01, figures);
    }
}
