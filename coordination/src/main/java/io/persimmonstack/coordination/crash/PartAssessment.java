package io.persimmonstack.coordination.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides which parts of prompts are to blame for the ends of processes.
 *
 * <p>Each end at which a request with a part waited for the beginning of its answer speaks against the part, and each
 * answer that began on it speaks for it. Ends at which requests with it waited at the same time count once, since they
 * may have another cause; answers then count less by the same factor. A part with enough against it is blocked; it
 * then explains the ends at which it waited, and these no longer count against the parts that merely waited there, too.
 * Parts further back in their prompts come first, as those before them are shared more widely.
 */
final class PartAssessment {
    /** Weight of an end, in answers. */
    static final int END_WEIGHT = 2;
    /** Ends without an answer from which a part is blocked. */
    static final int BLOCKING_ENDS = 3;

    private static final int BLOCK_WEIGHT = BLOCKING_ENDS * END_WEIGHT;
    /** Largest number of answers before the first end that speak for a part. */
    static final int MAX_ANSWERS_BEFORE = 2;

    private PartAssessment() {}

    /** Wait for an answer until the process ended, in Unix milliseconds. */
    private record Wait(long sentAtMs, long endedAtMs) {}

    /** What speaks against one part. */
    private static final class Suspicion {
        private final String part;
        private final List<CrashEvidence.KnownEnd> ends = new ArrayList<>();
        private final List<Wait> waits = new ArrayList<>();
        private int position;
        private int weight;

        private Suspicion(String part) {
            this.part = part;
        }

        private void add(CrashEvidence.KnownEnd known, WaitingPrompt prompt, int positionInPrompt) {
            position = Math.max(position, positionInPrompt);
            waits.add(new Wait(prompt.sentAtMs(), known.end().endedAtMs()));
            if (ends.isEmpty() || ends.getLast() != known) {
                ends.add(known);
            }
        }

        private void weigh(PartAnswers answers) {
            int successive = successiveWaits();
            weight = END_WEIGHT * successive - answers.before() - answers.since() * successive / waits.size();
        }

        /** Returns the largest number of waits of which none began before another one ended. */
        private int successiveWaits() {
            waits.sort(Comparator.comparingLong(Wait::endedAtMs));
            int count = 0;
            long lastEndMs = Long.MIN_VALUE;
            for (Wait wait : waits) {
                if (wait.sentAtMs() >= lastEndMs) {
                    count++;
                    lastEndMs = wait.endedAtMs();
                }
            }
            return count;
        }

        private PartStatus blocked(Collection<CrashEvidence.KnownEnd> all) {
            List<CrashEvidence.KnownEnd> involved =
                    all.stream().filter(known -> known.end().involves(part)).toList();
            long lastEndNanos = involved.stream()
                    .mapToLong(CrashEvidence.KnownEnd::knownNanos)
                    .reduce((one, other) -> one - other > 0 ? one : other)
                    .orElseThrow();
            return new PartStatus.Blocked(involved.size(), lastEndNanos);
        }
    }

    /**
     * Assesses all parts.
     *
     * @param ends known ends
     * @param answers returns the answers that speak for a part
     * @return the parts that are suspected or blocked
     */
    static Map<String, PartStatus> assess(
            Collection<CrashEvidence.KnownEnd> ends, Function<String, PartAnswers> answers) {
        Map<String, PartStatus> statuses = new HashMap<>();
        List<CrashEvidence.KnownEnd> unexplained = new ArrayList<>(ends);
        Collection<Suspicion> suspicions = suspicions(unexplained, answers);
        List<Suspicion> worst = worst(suspicions);
        while (!worst.isEmpty()) {
            worst.forEach(suspicion -> statuses.put(suspicion.part, suspicion.blocked(ends)));
            worst.forEach(suspicion -> unexplained.removeAll(suspicion.ends));
            suspicions = suspicions(unexplained, answers);
            worst = worst(suspicions);
        }
        suspicions.stream()
                .filter(suspicion -> suspicion.weight > 0)
                .forEach(suspicion -> statuses.put(suspicion.part, new PartStatus.Suspected(suspicion.ends.size())));
        return Map.copyOf(statuses);
    }

    private static Collection<Suspicion> suspicions(
            List<CrashEvidence.KnownEnd> ends, Function<String, PartAnswers> answers) {
        Map<String, Suspicion> byPart = new HashMap<>();
        for (CrashEvidence.KnownEnd known : ends) {
            for (WaitingPrompt prompt : known.end().prompts()) {
                for (int i = 0; i < prompt.parts().size(); i++) {
                    byPart.computeIfAbsent(prompt.parts().get(i), Suspicion::new)
                            .add(known, prompt, i);
                }
            }
        }
        byPart.values().forEach(suspicion -> suspicion.weigh(answers.apply(suspicion.part)));
        return byPart.values();
    }

    /** Returns the parts to block next: of those with enough against them the last in their prompts, and the worst. */
    private static List<Suspicion> worst(Collection<Suspicion> suspicions) {
        Comparator<Suspicion> order = Comparator.<Suspicion>comparingInt(suspicion -> suspicion.position)
                .thenComparingInt(suspicion -> suspicion.weight);
        Set<Suspicion> enough = suspicions.stream()
                .filter(suspicion -> suspicion.weight >= BLOCK_WEIGHT)
                .collect(Collectors.toSet());
        return enough.stream()
                .max(order)
                .map(worst -> enough.stream()
                        .filter(other -> order.compare(worst, other) == 0)
                        .toList())
                .orElse(List.of());
    }
}
