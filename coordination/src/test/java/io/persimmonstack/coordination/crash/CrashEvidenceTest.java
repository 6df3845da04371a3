package io.persimmonstack.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.hash.ShortKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against parts of prompts that end one process after the other, and against sound parts that are blamed for it:
 * those that are shared, that merely waited there, or whose processes ended for another cause.
 */
class CrashEvidenceTest {
    private static final int WAIT_MS = 50;

    private final CrashEvidence evidence = CrashEvidence.of("self");
    private int processes;
    private long nowMs = 1_000_000;

    /** Ends a process while requests wait there that were all sent shortly before. */
    @SafeVarargs
    private void end(CrashEvidence observer, List<String>... prompts) {
        String process = "p" + processes++;
        for (List<String> prompt : prompts) {
            observer.recordEnd(process, nowMs, new WaitingPrompt(prompt, nowMs - WAIT_MS), 0);
        }
        nowMs += 2 * WAIT_MS;
    }

    private Optional<PartStatus> status(String part) {
        return Optional.ofNullable(evidence.statuses().get(part));
    }

    private boolean isBlocked(String part) {
        return status(part).orElse(null) instanceof PartStatus.Blocked;
    }

    private boolean isSuspected(String part) {
        return status(part).orElse(null) instanceof PartStatus.Suspected;
    }

    /** Failure: processes ended under a part one after the other, and nothing spoke against it. */
    @Test
    void partIsBlockedAfterThreeEnds() {
        end(evidence, List.of("first", "fatal"));
        assertTrue(isSuspected("fatal"));
        end(evidence, List.of("first", "fatal"));
        assertTrue(isSuspected("fatal"));
        end(evidence, List.of("first", "fatal"));
        assertTrue(isBlocked("fatal"));
    }

    /** Failure: the part that sound requests share was blocked with the fatal one. */
    @Test
    void partBeforeTheFatalOneIsNotBlocked() {
        IntStream.range(0, 5).forEach(ignored -> end(evidence, List.of("first", "fatal")));
        assertTrue(isBlocked("fatal"));
        assertEquals(Optional.empty(), status("first"));
    }

    /** The same where the shared part also waited at an end of another cause, so that more speaks against it. */
    @Test
    void partThatWaitedMoreOftenThanTheFatalOneIsNotBlocked() {
        end(evidence, List.of("first", "other"));
        IntStream.range(0, 3).forEach(ignored -> end(evidence, List.of("first", "fatal")));
        assertTrue(isBlocked("fatal"));
        assertFalse(isBlocked("first"));
    }

    /** Failure: ends in a burst counted once and the few answers beside them in full, so that nothing was blocked. */
    @Test
    void fewAnswersDoNotClearAPartUnderWhichManyProcessesEndAtOnce() {
        for (int burst = 0; burst < 4; burst++) {
            for (int i = 0; i < 5; i++) {
                WaitingPrompt prompt = new WaitingPrompt(List.of("fatal"), nowMs - WAIT_MS);
                evidence.recordEnd("p" + processes++, nowMs, prompt, 0);
            }
            evidence.recordAnswer(List.of("fatal"));
            evidence.recordAnswer(List.of("fatal"));
            nowMs += 2 * WAIT_MS;
        }
        assertTrue(isBlocked("fatal"));
    }

    /** Failure: it waited anew at each end of a burst, while the waits of the fatal part overlapped. */
    @Test
    void sharedPartIsNotBlockedForABurstUnderAnother() {
        for (int i = 0; i < 5; i++) {
            String process = "p" + processes++;
            WaitingPrompt fatal = new WaitingPrompt(List.of("first", "fatal"), nowMs - 16 * WAIT_MS);
            evidence.recordEnd(process, nowMs, fatal, 0);
            evidence.recordEnd(process, nowMs, new WaitingPrompt(List.of("first", "sound" + i), nowMs - WAIT_MS), 0);
            nowMs += 6 * WAIT_MS;
        }
        assertEquals(Optional.empty(), status("first"));
        assertTrue(isSuspected("fatal"));
    }

    @Test
    void fatalFirstPartIsBlockedIfTheOthersDiffer() {
        IntStream.range(0, 3).forEach(i -> end(evidence, List.of("fatal", "other" + i)));
        assertTrue(isBlocked("fatal"));
        IntStream.range(0, 3).forEach(i -> assertEquals(Optional.empty(), status("other" + i)));
    }

    /** Failure: parts of requests that merely waited at the same processes were blamed, too. */
    @Test
    void partThatWaitedAtTwoOfTheEndsIsNotBlocked() {
        end(evidence, List.of("first", "fatal"), List.of("first", "rare"));
        end(evidence, List.of("first", "fatal"), List.of("first", "rare"));
        assertFalse(isBlocked("rare"));
        end(evidence, List.of("first", "fatal"));
        assertTrue(isBlocked("fatal"));
        assertEquals(Optional.empty(), status("rare"));
    }

    /** What was blocked by mistake is free after a single answer. */
    @Test
    void partThatWaitedAtAllEndsIsFreedByOneAnswer() {
        IntStream.range(0, 3).forEach(ignored -> end(evidence, List.of("first", "fatal"), List.of("first", "rare")));
        assertTrue(isBlocked("fatal"));
        assertTrue(isBlocked("rare"));
        evidence.recordAnswer(List.of("first", "rare"));
        assertTrue(isBlocked("fatal"));
        assertFalse(isBlocked("rare"));
    }

    /** Failure: processes that ended at once for another cause were held against all that waited there. */
    @Test
    void endsAtTheSameTimeCountOnce() {
        for (int i = 0; i < 10; i++) {
            evidence.recordEnd("p" + i, nowMs + i, new WaitingPrompt(List.of("first", "rare"), nowMs - WAIT_MS), 0);
        }
        assertFalse(isBlocked("rare"));
        assertFalse(isBlocked("first"));
    }

    @Test
    void partWithAnswersIsNotBlocked() {
        for (int i = 0; i < 20; i++) {
            end(evidence, List.of("first", "s" + i));
            evidence.recordAnswer(List.of("first", "t" + i));
            evidence.recordAnswer(List.of("first", "u" + i));
        }
        assertFalse(isBlocked("first"));
    }

    /** Failure: one answer wiped out all that spoke against a part. */
    @Test
    void answerOnceInAWhileDoesNotFreeAFatalPart() {
        for (int i = 0; i < 4; i++) {
            end(evidence, List.of("first", "fatal"));
        }
        evidence.recordAnswer(List.of("first", "fatal"));
        assertTrue(isBlocked("fatal"));
        evidence.recordAnswer(List.of("first", "fatal"));
        evidence.recordAnswer(List.of("first", "fatal"));
        assertFalse(isBlocked("fatal"));
        end(evidence, List.of("first", "fatal"));
        assertTrue(isBlocked("fatal"));
    }

    /** A part that was answered before and has become fatal is blocked a little later. */
    @Test
    void partThatWasAnsweredBeforeIsBlockedAfterFourEnds() {
        IntStream.range(0, 100).forEach(ignored -> evidence.recordAnswer(List.of("first", "fatal")));
        IntStream.range(0, 3).forEach(ignored -> end(evidence, List.of("first", "fatal")));
        assertFalse(isBlocked("fatal"));
        end(evidence, List.of("first", "fatal"));
        assertTrue(isBlocked("fatal"));
    }

    /** Failure: each node had to see the ends itself. */
    @Test
    void endsAtSeveralNodesCountTogether() {
        CrashEvidence b = CrashEvidence.of("b");
        CrashEvidence c = CrashEvidence.of("c");
        end(evidence, List.of("first", "fatal"));
        end(b, List.of("first", "fatal"));
        end(c, List.of("first", "fatal"));
        assertTrue(evidence.merge(b.nextReport(), 0));
        assertFalse(isBlocked("fatal"));
        assertTrue(evidence.merge(c.nextReport(), 0));
        assertTrue(isBlocked("fatal"));
    }

    @Test
    void endThatSeveralNodesObserveCountsOnce() {
        for (String node : List.of("b", "c", "d")) {
            CrashEvidence other = CrashEvidence.of(node);
            other.recordEnd("p", nowMs, new WaitingPrompt(List.of("first", "rare"), nowMs - WAIT_MS), 0);
            evidence.merge(other.nextReport(), 0);
        }
        assertEquals(Optional.of(new PartStatus.Suspected(1)), status("rare"));
    }

    @Test
    void answersAtOtherNodesSpeakForAPart() {
        CrashEvidence b = CrashEvidence.of("b");
        IntStream.range(0, 9).forEach(ignored -> b.recordAnswer(List.of("first", "s")));
        end(evidence, List.of("first", "s"));
        assertFalse(b.isReportDue());
        b.merge(evidence.nextReport(), 0);
        assertEquals(Map.of(), b.statuses());
        end(evidence, List.of("first", "s"));
        b.merge(evidence.nextReport(), 0);
        assertTrue(b.isReportDue());
        evidence.merge(b.nextReport(), 0);
        end(evidence, List.of("first", "s"));
        assertFalse(isBlocked("s"));
    }

    @Test
    void olderReportChangesNothing() {
        CrashEvidence b = CrashEvidence.of("b");
        end(b, List.of("first", "fatal"));
        CrashReport report = b.nextReport();
        assertTrue(evidence.merge(report, 0));
        assertFalse(evidence.merge(report, 0));
        assertFalse(b.merge(report, 0));
    }

    /** Failure: the next process of a node no longer reported what the one before had observed. */
    @Test
    void observationsOfAnEarlierProcessAreReported() {
        CrashEvidence earlier = CrashEvidence.of("earlier");
        IntStream.range(0, 3).forEach(ignored -> end(earlier, List.of("first", "fatal")));
        CrashReport report = earlier.nextReport();
        evidence.merge(report, 0);
        evidence.adopt(report);
        assertTrue(isBlocked("fatal"));
        CrashEvidence other = CrashEvidence.of("other");
        other.merge(evidence.nextReport(), 0);
        assertTrue(other.statuses().get("fatal") instanceof PartStatus.Blocked);
    }

    @Test
    void observationsAreBounded() {
        IntStream.range(0, 3 * CrashEvidence.MAX_ENDS).forEach(i -> end(evidence, List.of("f" + i, "s" + i)));
        assertEquals(CrashEvidence.MAX_ENDS, evidence.endCount());
        List<String> many = IntStream.range(0, 1_000).mapToObj(i -> "many" + i).toList();
        end(evidence, many);
        assertTrue(isSuspected("many" + (CrashEvidence.MAX_PARTS_PER_PROMPT - 1)));
        assertEquals(Optional.empty(), status("many" + CrashEvidence.MAX_PARTS_PER_PROMPT));
        String longPart = "x".repeat(10_000);
        end(evidence, List.of("first", longPart));
        assertTrue(isSuspected(ShortKey.of(longPart)));
        assertTrue(ShortKey.of(longPart).length() <= ShortKey.MAX_LENGTH);
    }

    @Test
    void endsAreForgottenSomeTimeAfterTheLastOne() {
        IntStream.range(0, 3).forEach(ignored -> end(evidence, List.of("first", "fatal")));
        assertFalse(evidence.expire(CrashEvidence.RETENTION_NANOS));
        assertTrue(isBlocked("fatal"));
        evidence.recordEnd("last", nowMs, new WaitingPrompt(List.of("fatal"), nowMs), CrashEvidence.RETENTION_NANOS);
        evidence.expire(CrashEvidence.RETENTION_NANOS + 1);
        assertTrue(isBlocked("fatal"));
        assertTrue(evidence.expire(2 * CrashEvidence.RETENTION_NANOS + 1));
        assertEquals(Map.of(), evidence.statuses());
        assertEquals(0, evidence.endCount());
    }
}
