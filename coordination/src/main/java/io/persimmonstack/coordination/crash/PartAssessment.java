package io.persimmonstack.coordination.crash;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Decides which parts of prompts are to blame for the ends of processes.
 *
 * <p>Each end at which a request with a part waited for the beginning of its answer speaks against the part, and each
 * answer that began on it speaks for it. Ends at which requests with it waited at the same time count once, since they
 * may have another cause; answers then count less by the same factor. A part with enough against it is blocked.
 *
 * <p>Requests with other parts waited at the same ends, so one end must not speak against all of them. A blocked part
 * explains the ends at which it waited. Until one is blocked, so does a likelier part: one with something against it
 * that waited at more than half of the same ends, and that is further back in its prompt, as those before it are shared
 * more widely, or waited at more ends.
 */
final class PartAssessment {
    /** Weight of an end, in answers. */
    static final int END_WEIGHT = 2;
    /** Ends without an answer from which a part is blocked. */
    static final int BLOCKING_ENDS = 3;

    private static final int BLOCK_WEIGHT = BLOCKING_ENDS * END_WEIGHT;
    /** Largest number of answers before the first end that speak for a part. */
    static final int MAX_ANSWERS_BEFORE = 2;

    /** Number of ends at which two parts must have waited for one of them to explain those of the other. */
    private static final int MIN_COMMON_ENDS = 2;
    /** Largest number of parts that may explain the ends of others before one is blocked. */
    private static final int MAX_LIKELY_PARTS = 16;

    private PartAssessment() {}

    /** Wait for an answer until a process ended, in Unix milliseconds; ends are numbered in order of their times. */
    private record Wait(int end, long sentAtMs, long endedAtMs) {}

    /** What speaks against one part. */
    private static final class Suspicion {
        private final String part;
        private final PartAnswers answers;
        /** Waits in the order of their ends. */
        private final List<Wait> waits = new ArrayList<>();
        /** Ends at which a request with the part waited. */
        private final BitSet ends = new BitSet();
        /** Those of them that no blocked part explains. */
        private BitSet unexplained = ends;

        private int position;
        private int weight;

        private Suspicion(String part, PartAnswers answers) {
            this.part = part;
            this.answers = answers;
        }

        private void add(Wait wait, int positionInPrompt) {
            waits.add(wait);
            ends.set(wait.end());
            position = Math.max(position, positionInPrompt);
        }

        /** Weighs the ends that blocked parts do not explain. */
        private void weighUnexplained(BitSet explained) {
            unexplained = without(ends, explained);
            weigh(unexplained);
        }

        /** Weighs some of the ends against the answers. */
        private void weigh(BitSet weighed) {
            int all = 0;
            int successive = 0;
            long lastEndMs = Long.MIN_VALUE;
            for (Wait wait : waits) {
                if (!weighed.get(wait.end())) {
                    continue;
                }
                all++;
                if (wait.sentAtMs() >= lastEndMs) {
                    successive++;
                    lastEndMs = wait.endedAtMs();
                }
            }
            weight = END_WEIGHT * successive - answers.before() - answers.since() * successive / Math.max(1, all);
        }

        private boolean isLikelierThan(Suspicion other) {
            int count = unexplained.cardinality();
            int otherCount = other.unexplained.cardinality();
            boolean isFurtherBack = position > other.position || position == other.position && count > otherCount;
            if (!isFurtherBack) {
                return false;
            }
            BitSet common = (BitSet) unexplained.clone();
            common.and(other.unexplained);
            return common.cardinality() >= MIN_COMMON_ENDS && 2 * common.cardinality() > otherCount;
        }

        private PartStatus blocked(List<CrashEvidence.KnownEnd> all) {
            long lastEndNanos = ends.stream()
                    .mapToLong(end -> all.get(end).knownNanos())
                    .reduce((one, other) -> one - other > 0 ? one : other)
                    .orElseThrow();
            return new PartStatus.Blocked(ends.cardinality(), lastEndNanos);
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
        List<CrashEvidence.KnownEnd> ordered = ends.stream()
                .sorted(Comparator.comparingLong(
                                (CrashEvidence.KnownEnd known) -> known.end().endedAtMs())
                        .thenComparing(known -> known.end().process()))
                .toList();
        Collection<Suspicion> suspicions = suspicions(ordered, answers);
        Map<String, PartStatus> statuses = new HashMap<>();
        BitSet explained = new BitSet();
        weigh(suspicions, explained);
        List<Suspicion> worst = worst(suspicions);
        while (!worst.isEmpty()) {
            worst.forEach(suspicion -> statuses.put(suspicion.part, suspicion.blocked(ordered)));
            worst.forEach(suspicion -> explained.or(suspicion.ends));
            weigh(suspicions, explained);
            worst = worst(suspicions);
        }
        suspicions.stream()
                .filter(suspicion -> suspicion.weight > 0)
                .forEach(suspicion ->
                        statuses.put(suspicion.part, new PartStatus.Suspected(suspicion.unexplained.cardinality())));
        return Map.copyOf(statuses);
    }

    private static Collection<Suspicion> suspicions(
            List<CrashEvidence.KnownEnd> ends, Function<String, PartAnswers> answers) {
        Map<String, Suspicion> byPart = new HashMap<>();
        for (int i = 0; i < ends.size(); i++) {
            ProcessEnd end = ends.get(i).end();
            for (WaitingPrompt prompt : end.prompts()) {
                Wait wait = new Wait(i, prompt.sentAtMs(), end.endedAtMs());
                for (int position = 0; position < prompt.parts().size(); position++) {
                    byPart.computeIfAbsent(
                                    prompt.parts().get(position), part -> new Suspicion(part, answers.apply(part)))
                            .add(wait, position);
                }
            }
        }
        return byPart.values();
    }

    /** Weighs all parts by the ends that neither blocked parts nor likelier ones explain. */
    private static void weigh(Collection<Suspicion> suspicions, BitSet explained) {
        suspicions.forEach(suspicion -> suspicion.weighUnexplained(explained));
        List<Suspicion> likely = likelyParts(suspicions);
        for (Suspicion suspicion : suspicions) {
            BitSet byLikelier = new BitSet();
            likely.stream()
                    .filter(other -> other.isLikelierThan(suspicion))
                    .forEach(other -> byLikelier.or(other.unexplained));
            if (!byLikelier.isEmpty()) {
                suspicion.weigh(without(suspicion.unexplained, byLikelier));
            }
        }
    }

    /** Returns the parts that may explain the ends of others: those with something against them and the most ends. */
    private static List<Suspicion> likelyParts(Collection<Suspicion> suspicions) {
        return suspicions.stream()
                .filter(suspicion -> suspicion.weight > 0 && suspicion.unexplained.cardinality() >= MIN_COMMON_ENDS)
                .sorted(Comparator.comparingInt((Suspicion suspicion) -> -suspicion.unexplained.cardinality())
                        .thenComparing(suspicion -> suspicion.part))
                .limit(MAX_LIKELY_PARTS)
                .toList();
    }

    private static BitSet without(BitSet ends, BitSet removed) {
        BitSet rest = (BitSet) ends.clone();
        rest.andNot(removed);
        return rest;
    }

    /** Returns the parts to block next: of those with enough against them the last in their prompts, and the worst. */
    private static List<Suspicion> worst(Collection<Suspicion> suspicions) {
        Comparator<Suspicion> order = Comparator.<Suspicion>comparingInt(suspicion -> suspicion.position)
                .thenComparingInt(suspicion -> suspicion.weight);
        List<Suspicion> enough = suspicions.stream()
                .filter(suspicion -> suspicion.weight >= BLOCK_WEIGHT)
                .toList();
        return enough.stream()
                .max(order)
                .map(worst -> enough.stream()
                        .filter(other -> order.compare(worst, other) == 0)
                        .toList())
                .orElse(List.of());
    }
}
