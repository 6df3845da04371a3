package io.persimmonstack.coordination.crash;

import java.util.List;

/**
 * What one node has observed of ends and answers, for other nodes. A report replaces those of its reporter with lower
 * numbers.
 *
 * @param reporter name of the process of the node, which no other process has
 * @param number rises with each report of the reporter
 * @param ends ends that it observed
 * @param answers answers on parts with known ends
 */
public record CrashReport(String reporter, long number, List<ProcessEnd> ends, List<PartAnswers> answers) {
    /** Copies the lists. */
    public CrashReport {
        ends = List.copyOf(ends);
        answers = List.copyOf(answers);
    }

    /** Returns whether the report tells nothing. */
    public boolean isEmpty() {
        return ends.isEmpty() && answers.isEmpty();
    }
}
