package io.persimmonstack.coordination.cap;

import io.persimmonstack.coordination.hash.RendezvousHash;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Assignment of slots by the leader of one term. A slot goes to another process only if its holder is known to have
 * ended, has released it, or may not use it any more because the leader has not answered it for so long. All times are
 * monotonic readings of the leader: where they stop in a freeze, it waits longer. Not thread-safe.
 *
 * <p>A {@link #proposal} takes effect once the store has acknowledged it ({@link #written}). Before the first
 * acknowledgement of a term no holder is told that it may go on.
 */
public final class SlotAssigner {
    private static final long NANOS_PER_MS = 1_000_000;
    /** Time for which a new leader gathers reports, so that the slots are spread over many nodes. */
    private static final long GATHER_NANOS = 600 * NANOS_PER_MS;
    /** Time since its last report within which a process may be given a slot. */
    private static final long ALIVE_NANOS = 1_000 * NANOS_PER_MS;
    /**
     * Difference by which the leader waits longer than a holder goes on, for clocks that do not run equally fast.
     */
    private static final long CLOCK_MARGIN_NANOS = 50 * NANOS_PER_MS;

    private final long term;
    private final long electedNanos;
    private final long rightNanos;
    private final boolean doubtful;
    private final Map<Integer, SlotHolder> holders = new HashMap<>();
    private final Map<Integer, Long> extendedNanos = new HashMap<>();
    private final Map<Integer, Long> freeFromNanos = new HashMap<>();
    private final Map<String, LiveProcess> processes = new HashMap<>();
    private SlotTable table;
    private long number;
    private boolean acknowledged;

    /** Process that reports, the time of its last report and whether it takes slots. */
    private record LiveProcess(long startedMs, long reportedNanos, boolean takesSlots) {}

    /**
     * Report of a process.
     *
     * @param node name of the node
     * @param startedMs start of the process, by its own clock
     * @param held assignments by which it may use slots now
     * @param released assignments of slots that it does not use any more
     * @param leaving whether it is about to end and takes no slots
     */
    public record Report(
            String node,
            long startedMs,
            Map<Integer, SlotHolder> held,
            Map<Integer, SlotHolder> released,
            boolean leaving) {}

    /**
     * Starts with the table that the store has.
     *
     * @param term term of this leader
     * @param stored table in the store
     * @param doubtful whether the table may be older than the last one, as in a store that came back from a copy; then
     *     only a report tells who holds a slot
     * @param electedNanos time since which no leader before this one has answered
     * @param bounds tell for how long a holder may go on without an answer
     */
    public SlotAssigner(long term, SlotTable stored, boolean doubtful, long electedNanos, CapBounds bounds) {
        this.term = term;
        this.table = stored;
        this.number = stored.term() == term ? stored.number() : 0;
        this.doubtful = doubtful;
        this.electedNanos = electedNanos;
        this.rightNanos = bounds.rightMs() * NANOS_PER_MS + CLOCK_MARGIN_NANOS;
        for (int slot = 0; slot < CapShare.SLOTS; slot++) {
            SlotHolder holder = doubtful ? null : stored.holders().get(slot);
            if (holder == null) {
                freeFromNanos.put(slot, doubtful ? electedNanos + rightNanos : electedNanos);
            } else {
                holders.put(slot, holder);
                extendedNanos.put(slot, electedNanos);
            }
        }
    }

    /** Takes a report of a process. */
    public void report(Report report, long nowNanos) {
        LiveProcess known = processes.get(report.node());
        if (known != null && known.startedMs > report.startedMs()) {
            return;
        }
        processes.put(report.node(), new LiveProcess(report.startedMs(), nowNanos, !report.leaving()));
        for (int slot = 0; slot < CapShare.SLOTS; slot++) {
            SlotHolder holder = holders.get(slot);
            if (holder == null) {
                adopt(slot, report, nowNanos);
            } else if (holder.node().equals(report.node())) {
                boolean ended = holder.startedMs() < report.startedMs();
                boolean released = holder.equals(report.released().get(slot));
                if (ended || released) {
                    free(slot, nowNanos);
                }
            }
        }
    }

    /** Takes over the assignment of a process that may use a slot, where the store does not tell who does. */
    private void adopt(int slot, Report report, long nowNanos) {
        SlotHolder claim = report.held().get(slot);
        if (doubtful
                && claim != null
                && claim.isProcess(report.node(), report.startedMs())
                && nowNanos < freeFromNanos.get(slot)) {
            holders.put(slot, claim);
            extendedNanos.put(slot, nowNanos);
        }
    }

    private void free(int slot, long nowNanos) {
        holders.remove(slot);
        freeFromNanos.put(slot, nowNanos);
    }

    /**
     * Returns the table that is to be written now, empty if the one in the store is right.
     *
     * @param listedNodes number of nodes that may report; the leader need not wait for more
     * @param nowNanos monotonic time
     */
    public Optional<SlotTable> proposal(int listedNodes, long nowNanos) {
        for (int slot : List.copyOf(holders.keySet())) {
            if (nowNanos - extendedNanos.get(slot) > rightNanos) {
                free(slot, nowNanos);
            }
        }
        Map<Integer, SlotHolder> proposed = new HashMap<>(holders);
        Set<String> candidates = candidates(nowNanos);
        boolean gathered =
                nowNanos - electedNanos >= GATHER_NANOS || candidates.size() >= Math.min(CapShare.SLOTS, listedNodes);
        if (gathered && !candidates.isEmpty()) {
            IntStream.range(0, CapShare.SLOTS)
                    .filter(slot -> !proposed.containsKey(slot) && nowNanos - freeFromNanos.get(slot) >= 0)
                    .forEach(slot -> proposed.put(slot, choose(slot, candidates, proposed.values())));
        }
        boolean complete = gathered || proposed.size() == CapShare.SLOTS && allReported(proposed.values());
        boolean due = acknowledged ? !proposed.equals(table.holders()) : complete;
        return due ? Optional.of(new SlotTable(term, number + 1, proposed)) : Optional.empty();
    }

    private Set<String> candidates(long nowNanos) {
        Set<String> candidates = new HashSet<>();
        processes.forEach((node, process) -> {
            if (process.takesSlots && nowNanos - process.reportedNanos < ALIVE_NANOS) {
                candidates.add(node);
            }
        });
        return candidates;
    }

    /** Returns whether the holders are known to be alive; those that ended are replaced in the same write. */
    private boolean allReported(Collection<SlotHolder> assigned) {
        return assigned.stream()
                .allMatch(holder -> processes.containsKey(holder.node())
                        && processes.get(holder.node()).startedMs == holder.startedMs());
    }

    /** Chooses one of the candidates that hold the fewest slots. */
    private SlotHolder choose(int slot, Set<String> candidates, Collection<SlotHolder> assigned) {
        Map<String, Integer> counts = new HashMap<>();
        candidates.forEach(node -> counts.put(node, 0));
        assigned.forEach(holder -> counts.computeIfPresent(holder.node(), (node, count) -> count + 1));
        int fewest = counts.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
        List<String> least =
                candidates.stream().filter(node -> counts.get(node) == fewest).toList();
        String node = RendezvousHash.preferred(slot + "/" + term, least).orElseThrow();
        return new SlotHolder(node, processes.get(node).startedMs, term, number + 1);
    }

    /** Records that the store has acknowledged a proposal; nothing was proposed after it. */
    public void written(SlotTable written, long nowNanos) {
        table = written;
        number = written.number();
        acknowledged = true;
        written.holders().forEach((slot, holder) -> {
            if (holder.assignedTerm() == term && holder.assignedNumber() == number) {
                holders.put(slot, holder);
                extendedNanos.put(slot, nowNanos);
            }
        });
    }

    /** Returns the table in the store, empty before this leader has written one. */
    public Optional<SlotTable> table() {
        return acknowledged ? Optional.of(table) : Optional.empty();
    }

    /**
     * Returns whether a process that reports may go on with the slots that the table gives it, and counts its time from
     * now. A process that the table still lists for a slot that it may have lost is not let go on.
     */
    public boolean extend(String node, long startedMs, long nowNanos) {
        if (!acknowledged) {
            return false;
        }
        List<Integer> listed = table.holders().entrySet().stream()
                .filter(entry -> entry.getValue().isProcess(node, startedMs))
                .map(Map.Entry::getKey)
                .toList();
        boolean certain =
                listed.stream().allMatch(slot -> table.holders().get(slot).equals(holders.get(slot)));
        if (certain) {
            listed.forEach(slot -> extendedNanos.put(slot, nowNanos));
        }
        return certain;
    }
}
