package io.persimmonstack.node.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What the leader learns from the durations that nodes report, and what it tells them. */
class FleetPacesTest {
    private static final long MS = 1_000_000;
    private final FleetPaces paces = FleetPaces.create();
    private long answer;

    private void report(double ratio, int answers, long nowMs) {
        paces.update(List.of(new RunnerPace("r", 1, answers, ratio)), nowMs * MS);
    }

    private Optional<Double> told(Object acknowledged, long nowMs) {
        return paces.changesFor("n", acknowledged, ++answer, nowMs * MS).stream()
                .map(RunnerPace::ratio)
                .findFirst();
    }

    /** A single slow answer must not move requests away. */
    @Test
    void singleSlowAnswerHasNoEffect() {
        report(8, 1, 0);
        assertEquals(Optional.empty(), told(0, 0));
    }

    /** Many answers of one node may belong to the same stream. */
    @Test
    void nodeAloneNeedsMoreThanOneReport() {
        report(1, 2, 0);
        report(5, 60, 1);
        assertEquals(Optional.empty(), told(0, 1));
    }

    /** Half a second of slowness is left within a second, also without answers. */
    @Test
    void shortSlownessIsLeftWithoutAnswers() {
        for (long nowMs = 0; nowMs <= 500; nowMs += 100) {
            report(5, 1, nowMs);
        }
        assertTrue(told(0, 500).orElseThrow() > 2);
        assertEquals(Optional.of(1.0), told(1L, 1_500));
    }

    @Test
    void shortSlownessIsLeftWithGoodAnswers() {
        for (long nowMs = 0; nowMs <= 500; nowMs += 100) {
            report(5, 1, nowMs);
        }
        for (long nowMs = 550; nowMs <= 900; nowMs += 50) {
            report(1, 1, nowMs);
        }
        assertEquals(Optional.empty(), told(0, 900));
    }

    /** A runner of lower speed that gets few requests must stay known as such. */
    @Test
    void lastingPaceIsLearnedFromFewAnswersAndKept() {
        for (long nowMs = 0; nowMs <= 20_000; nowMs += 1_000) {
            report(1.67, 1, nowMs);
        }
        assertEquals(1.67, told(0, 20_000).orElseThrow(), 0.1);
        assertEquals(1.67, told(0, 80_000).orElseThrow(), 0.1);
    }

    /** A node whose answer was lost must be told again; one that has it must not, to save traffic. */
    @Test
    void nodeIsToldOnlyWhatItDoesNotKnow() {
        for (long nowMs = 0; nowMs <= 400; nowMs += 100) {
            report(5, 2, nowMs);
        }
        assertTrue(told(0, 400).isPresent());
        assertEquals(Optional.empty(), told(1L, 401));
        assertTrue(told(1L, 402).isPresent());
    }

    /** Numbers that cannot be paces, from a faulty node, must not spoil the estimate. */
    @Test
    void impossibleRatiosAreIgnored() {
        report(Double.NaN, 5, 0);
        report(-1, 5, 0);
        report(0, 5, 0);
        assertEquals(Optional.empty(), told(0, 1));
    }
}
