package io.persimmonstack.coordination.crash;

import io.persimmonstack.coordination.BoundedMap;
import io.persimmonstack.coordination.hash.ShortKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Observations of one node, and those that other nodes report, of processes that ended while requests waited there for
 * the beginning of their answers, and of answers that began. Which parts of prompts are to blame follows from both, see
 * {@link #statuses}; it is the same at all nodes with the same observations. Holds a limited number of them, the
 * oldest are dropped. Not thread-safe.
 */
public final class CrashEvidence {
    /** Number of ends that are kept. */
    static final int MAX_ENDS = 128;

    static final int MAX_PROMPTS_PER_END = 8;
    static final int MAX_PARTS_PER_PROMPT = 8;
    /** Time for which an end is kept after the last end with one of its parts. */
    static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** Largest number of answers since the first end that a node counts for a part. */
    static final int MAX_ANSWERS_SINCE = 1_000;

    private static final int MAX_ANSWERED_PARTS = 8_192;
    private static final int MAX_REPORTERS = 2_048;
    private static final int MAX_REPORTED_PARTS = 1_024;

    private final String reporter;
    private final Map<String, KnownEnd> ends = new LinkedHashMap<>();
    /** Names of the processes whose ends this node observed. */
    private final Set<String> ownEnds = new HashSet<>();
    /** Number of answers by part, for parts without known ends; the least recently answered are dropped. */
    private final Map<String, Integer> answered = BoundedMap.droppingLeastUsed(MAX_ANSWERED_PARTS);
    /** Answers of this node on parts with known ends. */
    private final Map<String, PartAnswers> ownAnswers = new HashMap<>();
    /** Answers that others report, by part and reporter. */
    private final Map<String, Map<String, PartAnswers>> reportedAnswers =
            BoundedMap.droppingLeastUsed(MAX_REPORTED_PARTS);

    private final Map<String, Long> lastNumbers = BoundedMap.droppingLeastUsed(MAX_REPORTERS);
    private Map<String, PartStatus> statuses = Map.of();
    private long lastNumber;
    private boolean ownEndsReported = true;
    private Map<String, PartAnswers> reportedOwnAnswers = Map.of();

    /** An end and the monotonic time at which this node came to know of it. */
    record KnownEnd(ProcessEnd end, long knownNanos) {}

    private CrashEvidence(String reporter) {
        this.reporter = reporter;
    }

    /**
     * Returns an object without observations.
     *
     * @param reporter name of the process of this node, which no other process has
     */
    public static CrashEvidence of(String reporter) {
        return new CrashEvidence(reporter);
    }

    private static List<String> keys(List<String> prompt) {
        return prompt.stream().limit(MAX_PARTS_PER_PROMPT).map(ShortKey::of).toList();
    }

    /**
     * Records that a process ended while a request waited there for the beginning of its answer.
     *
     * @param process name of the process
     * @param endedAtMs present time, in Unix milliseconds
     * @param prompt prompt of the request
     * @param nowNanos monotonic time
     */
    public void recordEnd(String process, long endedAtMs, WaitingPrompt prompt, long nowNanos) {
        if (prompt.parts().isEmpty()) {
            return;
        }
        boolean added = add(new ProcessEnd(process, endedAtMs, List.of(prompt)), nowNanos);
        if (ownEnds.add(process) || added) {
            ownEndsReported = false;
            assess();
        }
    }

    /** Adds an end, or prompts to a known one; returns whether anything was new. */
    private boolean add(ProcessEnd added, long nowNanos) {
        KnownEnd known = ends.get(added.process());
        Map<List<String>, Long> sentAtMs = new LinkedHashMap<>();
        if (known != null) {
            known.end().prompts().forEach(prompt -> sentAtMs.put(prompt.parts(), prompt.sentAtMs()));
        }
        int before = sentAtMs.size();
        for (WaitingPrompt prompt : added.prompts()) {
            List<String> parts = keys(prompt.parts());
            if (!parts.isEmpty() && (sentAtMs.containsKey(parts) || sentAtMs.size() < MAX_PROMPTS_PER_END)) {
                sentAtMs.merge(parts, prompt.sentAtMs(), Math::max);
            }
        }
        if (sentAtMs.size() == before) {
            return false;
        }
        List<WaitingPrompt> prompts = sentAtMs.entrySet().stream()
                .map(entry -> new WaitingPrompt(entry.getKey(), entry.getValue()))
                .toList();
        long endedAtMs = known == null ? added.endedAtMs() : known.end().endedAtMs();
        long knownNanos = known == null ? nowNanos : known.knownNanos();
        ends.put(added.process(), new KnownEnd(new ProcessEnd(added.process(), endedAtMs, prompts), knownNanos));
        sentAtMs.keySet().forEach(parts -> parts.forEach(this::countAnswersApart));
        return true;
    }

    /** From now on counts the answers on a part apart, since an end with it is known. */
    private void countAnswersApart(String part) {
        ownAnswers.computeIfAbsent(part, added -> {
            int before = Math.min(PartAssessment.MAX_ANSWERS_BEFORE, answered.getOrDefault(added, 0));
            return new PartAnswers(added, before, 0);
        });
    }

    /**
     * Records that an answer has begun.
     *
     * @param prompt shared parts of the prompt of its request
     */
    public void recordAnswer(List<String> prompt) {
        boolean matters = false;
        for (String part : keys(prompt)) {
            PartAnswers own = ownAnswers.get(part);
            if (own == null) {
                answered.merge(part, 1, (one, other) -> Math.min(PartAssessment.MAX_ANSWERS_BEFORE, one + other));
            } else if (own.since() < MAX_ANSWERS_SINCE) {
                ownAnswers.put(part, new PartAnswers(part, own.before(), own.since() + 1));
                matters |= statuses.containsKey(part);
            }
        }
        if (matters) {
            assess();
        }
    }

    /**
     * Takes the report of another node, or of an earlier process of this one.
     *
     * @param report the report
     * @param nowNanos monotonic time
     * @return whether it is newer than those known of its reporter
     */
    public boolean merge(CrashReport report, long nowNanos) {
        if (report.reporter().equals(reporter) || lastNumbers.getOrDefault(report.reporter(), 0L) >= report.number()) {
            return false;
        }
        lastNumbers.put(report.reporter(), report.number());
        boolean changed = false;
        for (ProcessEnd end : report.ends()) {
            changed |= add(end, nowNanos);
        }
        for (PartAnswers answers : report.answers()) {
            PartAnswers before = reportedAnswers
                    .computeIfAbsent(answers.part(), part -> new HashMap<>())
                    .put(report.reporter(), answers);
            changed |= !answers.equals(before);
        }
        if (changed) {
            assess();
        }
        return true;
    }

    /**
     * Takes over the observations of an earlier process of this node, so that this one reports them.
     *
     * @param report last report of that process
     */
    public void adopt(CrashReport report) {
        report.ends().stream()
                .map(ProcessEnd::process)
                .filter(ends::containsKey)
                .forEach(ownEnds::add);
    }

    /**
     * Returns whether others should hear from this node: it has observed an end, or answers on a part that is suspected
     * or blocked, since its last report.
     */
    public boolean isReportDue() {
        return !ownEndsReported
                || statuses.keySet().stream()
                        .map(ownAnswers::get)
                        .anyMatch(own -> own != null
                                && own.before() + own.since() > 0
                                && !own.equals(reportedOwnAnswers.get(own.part())));
    }

    /** Returns the next report of this node, with a higher number than those before. */
    public CrashReport nextReport() {
        List<ProcessEnd> observed = ends.values().stream()
                .map(KnownEnd::end)
                .filter(end -> ownEnds.contains(end.process()))
                .toList();
        List<PartAnswers> answers = ownAnswers.values().stream()
                .filter(own -> own.before() + own.since() > 0)
                .toList();
        ownEndsReported = true;
        reportedOwnAnswers = Map.copyOf(ownAnswers);
        return new CrashReport(reporter, ++lastNumber, observed, answers);
    }

    /** Drops what is older than {@link #RETENTION_NANOS}; returns whether a status has changed. */
    public boolean expire(long nowNanos) {
        Map<String, Long> lastEndNanos = new HashMap<>();
        ends.values()
                .forEach(known -> parts(known.end())
                        .forEach(part -> lastEndNanos.merge(
                                part, known.knownNanos(), (one, other) -> one - other > 0 ? one : other)));
        boolean dropped = ends.values()
                .removeIf(known -> parts(known.end()).stream()
                        .allMatch(part -> nowNanos - lastEndNanos.get(part) > RETENTION_NANOS));
        Map<String, PartStatus> before = statuses;
        if (dropped) {
            assess();
        }
        return !statuses.equals(before);
    }

    private static Set<String> parts(ProcessEnd end) {
        Set<String> parts = new HashSet<>();
        end.prompts().forEach(prompt -> parts.addAll(prompt.parts()));
        return parts;
    }

    private void assess() {
        while (ends.size() > MAX_ENDS) {
            ends.remove(ends.keySet().iterator().next());
        }
        Set<String> involved = new HashSet<>();
        ends.values().forEach(known -> involved.addAll(parts(known.end())));
        ownEnds.retainAll(ends.keySet());
        ownAnswers.keySet().retainAll(involved);
        statuses = PartAssessment.assess(ends.values(), this::answers);
    }

    /** Returns the answers on a part that speak for it, of all nodes. */
    private PartAnswers answers(String part) {
        int before = 0;
        int since = 0;
        List<PartAnswers> all =
                new ArrayList<>(reportedAnswers.getOrDefault(part, Map.of()).values());
        Optional.ofNullable(ownAnswers.get(part)).ifPresent(all::add);
        for (PartAnswers answers : all) {
            before += Math.max(0, answers.before());
            since += Math.max(0, answers.since());
        }
        return new PartAnswers(part, Math.min(PartAssessment.MAX_ANSWERS_BEFORE, before), since);
    }

    /** Returns the parts that are suspected or blocked; a snapshot. */
    public Map<String, PartStatus> statuses() {
        return statuses;
    }

    /** Returns the number of known ends. */
    public int endCount() {
        return ends.size();
    }
}
