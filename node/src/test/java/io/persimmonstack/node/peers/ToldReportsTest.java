package io.persimmonstack.node.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.placing.RunnerReport;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Many runners of which few change between two answers to a node. */
class ToldReportsTest {
    private static final long TERM = 7;
    private final ToldReports told = new ToldReports();

    @Test
    void firstAnswerTellsAllAndLaterOnesWhatHasChanged() {
        ToldReports.Changes first = told.changes(
                "n", TERM, ToldReports.Answer.NONE, List.of(report("a", 1, "m", 0), report("b", 1, "m", 0)));
        assertEquals(2, first.reports().size());
        ToldReports.Changes second =
                told.changes("n", TERM, first.answer(), List.of(report("a", 1, "m", 3), report("b", 1, "m", 0)));
        assertEquals(List.of(report("a", 1, "m", 3).withoutModels()), second.reports());
        ToldReports.Changes third =
                told.changes("n", TERM, second.answer(), List.of(report("a", 1, "other", 3), report("b", 1, "m", 0)));
        assertEquals(List.of(report("a", 1, "other", 3)), third.reports());
        assertTrue(told.changes("n", TERM, third.answer(), List.of(report("a", 1, "other", 3), report("b", 1, "m", 0)))
                .reports()
                .isEmpty());
    }

    @Test
    void nodeThatLacksTheLastAnswerIsToldAll() {
        List<RunnerReport> runners = List.of(report("a", 1, "m", 0));
        ToldReports.Answer first =
                told.changes("n", TERM, ToldReports.Answer.NONE, runners).answer();
        told.changes("n", TERM, first, runners);
        assertEquals(runners, told.changes("n", TERM, first, runners).reports());
        assertEquals(
                runners,
                told.changes("n", TERM, ToldReports.Answer.NONE, runners).reports());
    }

    @Test
    void answerOfAnEarlierTermDoesNotCount() {
        List<RunnerReport> runners = List.of(report("a", 1, "m", 0));
        ToldReports.Answer old =
                told.changes("n", TERM, ToldReports.Answer.NONE, runners).answer();
        ToldReports.Answer sameNumber = new ToldReports.Answer(TERM - 1, old.number());
        assertEquals(runners, told.changes("n", TERM, sameNumber, runners).reports());
    }

    @Test
    void modelsOfANewProcessAreTold() {
        ToldReports.Answer first = told.changes("n", TERM, ToldReports.Answer.NONE, List.of(report("a", 1, "m", 0)))
                .answer();
        List<RunnerReport> restarted = List.of(report("a", 2, "m", 0));
        assertEquals(restarted, told.changes("n", TERM, first, restarted).reports());
    }

    @Test
    void nodesAreToldApart() {
        List<RunnerReport> runners = List.of(report("a", 1, "m", 0));
        ToldReports.Answer toOne =
                told.changes("one", TERM, ToldReports.Answer.NONE, runners).answer();
        assertEquals(runners, told.changes("two", TERM, toOne, runners).reports());
    }

    private static RunnerReport report(String runner, long startedMs, String model, int elsewhere) {
        return new RunnerReport(
                runner, startedMs, Optional.of(List.of(new HeldModel(model, 1, Set.of()))), elsewhere, elsewhere);
    }
}
