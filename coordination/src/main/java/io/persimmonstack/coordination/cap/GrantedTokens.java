package io.persimmonstack.coordination.cap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Tokens of one workspace that a node has been granted and not used yet, and what it knows of the holders. Not
 * thread-safe.
 */
public final class GrantedTokens {
    /** Time over which the use of this node is averaged, for the tokens that it asks for ahead of need. */
    private static final double USE_AVERAGE_MS = 2_000;
    /** Requests that a node probably gets while a grant is valid, from which on it asks for tokens ahead of need. */
    private static final double MIN_REQUESTS_AHEAD = 2;
    /** Time for which a holder that did not answer, or that held no slot, is asked after all others. */
    private static final long SILENT_MS = 300;
    /** Batches that are remembered until they can be given back. */
    private static final int MAX_RETURNS = 64;

    private static final double MS_PER_SECOND = 1_000;

    private final long grantMs;
    private final Deque<Grant> grants = new ArrayDeque<>();
    private final Deque<TokenBatch> returns = new ArrayDeque<>();
    private final Map<Process, Exhaustion> exhausted = new HashMap<>();
    private final Map<Process, ClockReading> silent = new HashMap<>();
    private double usedPerMs;
    private long usedAtNanos;

    /** Holder of one or several slots. */
    private record Process(String node, long startedMs) {
        private static Process of(SlotHolder holder) {
            return new Process(holder.node(), holder.startedMs());
        }
    }

    /** Tokens and the moment at which they were asked for. */
    private record Grant(TokenBatch batch, ClockReading asked) {}

    /**
     * Tokens that a holder has.
     *
     * @param holder the holder
     * @param tokens how many
     */
    public record Part(SlotHolder holder, long tokens) {}

    /** Moment at which a holder has room for a need. */
    private record Exhaustion(long need, long untilNanos) {
        /** Returns when there is room for a need; a smaller one finds it earlier. */
        private long untilNanos(long otherNeed, double ratePerSecond) {
            double earlierSeconds = Math.max(0, (need - otherNeed) / ratePerSecond);
            return untilNanos - (long) (earlierSeconds * TimeUnit.SECONDS.toNanos(1));
        }

        /** Returns this moment after the holder has given tokens. */
        private Exhaustion later(long tokens, double ratePerSecond) {
            return new Exhaustion(need, untilNanos + (long) (tokens / ratePerSecond * TimeUnit.SECONDS.toNanos(1)));
        }

        /** Returns how many tokens the holder has if nobody else has taken any. */
        private long level(double ratePerSecond, ClockReading now) {
            double missing = (untilNanos - now.monotonicNanos()) * ratePerSecond / TimeUnit.SECONDS.toNanos(1);
            return (long) Math.floor(need - missing);
        }
    }

    /**
     * Creates a store of tokens without any.
     *
     * @param bounds tell for how long a grant is valid
     */
    public GrantedTokens(CapBounds bounds) {
        this.grantMs = bounds.grantMs();
    }

    /** Records that a request of this node counts so many tokens. */
    public void recordUse(long tokens, ClockReading now) {
        double elapsedMs = (now.monotonicNanos() - usedAtNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
        usedPerMs = usedPerMs * Math.exp(-Math.max(0, elapsedMs) / USE_AVERAGE_MS) + tokens / USE_AVERAGE_MS;
        usedAtNanos = now.monotonicNanos();
    }

    /**
     * Returns how many more tokens the node probably uses while a grant is valid than it has. These are none unless
     * they serve more than one request like the present one: what expires unused is missing elsewhere meanwhile.
     */
    public long ahead(long need, ClockReading now) {
        expire(now);
        double expected = usedPerMs * grantMs;
        return expected < MIN_REQUESTS_AHEAD * need ? 0 : Math.max(0, (long) expected - available());
    }

    /** Adds tokens that a holder has granted. */
    public void add(TokenBatch batch, ClockReading asked) {
        if (batch.tokens() > 0) {
            grants.addLast(new Grant(batch, asked));
        }
    }

    /** Returns whether tokens that were asked for at a moment may still be used. */
    public boolean isValid(ClockReading asked, ClockReading now) {
        return now.msSince(asked) < grantMs;
    }

    /** Takes what a request needs, oldest grants first; empty if the valid grants are not enough. */
    public Optional<List<TokenBatch>> take(long need, ClockReading now) {
        expire(now);
        if (available() < need) {
            return Optional.empty();
        }
        List<TokenBatch> taken = new ArrayList<>();
        long missing = need;
        while (missing > 0) {
            Grant oldest = grants.removeFirst();
            long part = Math.min(missing, oldest.batch.tokens());
            taken.add(oldest.batch.withTokens(part));
            missing -= part;
            if (part < oldest.batch.tokens()) {
                grants.addFirst(new Grant(oldest.batch.withTokens(oldest.batch.tokens() - part), oldest.asked));
            }
        }
        return Optional.of(taken);
    }

    /** Returns the tokens that may be used now, without discarding the others. */
    long validTokens(ClockReading now) {
        return grants.stream()
                .filter(grant -> isValid(grant.asked, now))
                .mapToLong(grant -> grant.batch.tokens())
                .sum();
    }

    private long available() {
        return grants.stream().mapToLong(grant -> grant.batch.tokens()).sum();
    }

    private void expire(ClockReading now) {
        for (Iterator<Grant> all = grants.iterator(); all.hasNext(); ) {
            Grant grant = all.next();
            if (!isValid(grant.asked, now)) {
                all.remove();
                giveBack(grant.batch);
            }
        }
    }

    /**
     * Remembers tokens that were not used, until they can be given back to their holder, which may then have room
     * again.
     */
    public void giveBack(TokenBatch batch) {
        if (batch.tokens() > 0) {
            returns.addLast(batch);
            exhausted.remove(Process.of(batch.holder()));
        }
        if (returns.size() > MAX_RETURNS) {
            returns.removeFirst();
        }
    }

    /** Returns and forgets the tokens that go back to a holder. */
    public List<TokenBatch> drainReturns(SlotHolder holder) {
        List<TokenBatch> drained = returns.stream()
                .filter(batch -> batch.holder().isProcess(holder.node(), holder.startedMs()))
                .toList();
        returns.removeAll(drained);
        return drained;
    }

    /** Records that a holder has no room for a need for so long. */
    public void recordExhausted(SlotHolder holder, long need, long retryMs, ClockReading now) {
        exhausted.put(
                Process.of(holder),
                new Exhaustion(need, now.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(retryMs)));
    }

    /**
     * Records that a holder gave tokens. One with a single slot has room for others later; of one with several it is
     * not known what the others have.
     */
    public void recordTaken(SlotHolder holder, long tokens, CapShare share, boolean singleSlot) {
        exhausted.computeIfPresent(
                Process.of(holder), (process, known) -> singleSlot ? known.later(tokens, share.ratePerSecond()) : null);
    }

    /**
     * Returns from which holders a need can be taken in parts, which no holder has alone; none if the few that have
     * most do not have enough together, by what they have told.
     */
    public List<Part> parts(List<SlotHolder> holders, long need, CapShare share, ClockReading now) {
        List<Part> fullest = holders.stream()
                .filter(holder -> exhausted.containsKey(Process.of(holder)))
                .map(holder ->
                        new Part(holder, exhausted.get(Process.of(holder)).level(share.ratePerSecond(), now)))
                .filter(part -> part.tokens > 0)
                .sorted(Comparator.comparingLong(Part::tokens).reversed())
                .limit(CapShare.MAX_PARTS)
                .toList();
        List<Part> parts = new ArrayList<>();
        long missing = need;
        for (Part part : fullest) {
            if (missing > 0) {
                parts.add(new Part(part.holder, Math.min(missing, part.tokens)));
                missing -= part.tokens;
            }
        }
        return missing > 0 ? List.of() : parts;
    }

    /** Records that a holder did not answer, or said that it holds no slot of the workspace. */
    public void recordSilent(SlotHolder holder, ClockReading now) {
        silent.put(Process.of(holder), now);
    }

    /** Returns whether a holder has not answered, or held no slot, a moment ago. */
    public boolean isSilent(SlotHolder holder, ClockReading now) {
        ClockReading since = silent.get(Process.of(holder));
        return since != null && now.msSince(since) < SILENT_MS;
    }

    /** Returns whether a holder has told that it has no room for a need yet. */
    public boolean isExhausted(SlotHolder holder, long need, CapShare share, ClockReading now) {
        Exhaustion known = exhausted.get(Process.of(holder));
        if (known != null && known.untilNanos - now.monotonicNanos() <= 0) {
            exhausted.remove(Process.of(holder));
        }
        return known != null && known.untilNanos(need, share.ratePerSecond()) - now.monotonicNanos() > 0;
    }

    /**
     * Returns how long it takes until the holders that have most have room for a need together, if nobody else takes
     * tokens, in milliseconds; empty if none has told what it has.
     */
    public OptionalLong retryMs(List<SlotHolder> holders, long need, CapShare share, ClockReading now) {
        List<Long> levels = holders.stream()
                .filter(holder -> isExhausted(holder, need, share, now))
                .map(holder -> exhausted.get(Process.of(holder)).level(share.ratePerSecond(), now))
                .sorted(Comparator.reverseOrder())
                .limit(CapShare.MAX_PARTS)
                .toList();
        if (levels.isEmpty()) {
            return OptionalLong.empty();
        }
        double seconds = (need - levels.getFirst()) / share.ratePerSecond();
        if (levels.size() == CapShare.MAX_PARTS) {
            double missing = need - levels.getFirst() - levels.getLast();
            double bothSeconds = missing / share.ratePerSecond() / CapShare.MAX_PARTS;
            // The fuller one may be full before; the other one then has to hold the rest.
            double restSeconds = (need - share.capacity() - levels.getLast()) / share.ratePerSecond();
            seconds = Math.min(seconds, Math.max(bothSeconds, restSeconds));
        }
        return OptionalLong.of((long) Math.max(0, seconds * MS_PER_SECOND) + 1);
    }

    /** Forgets processes that hold no slot any more. */
    public void retain(SlotTable table) {
        exhausted.keySet().removeIf(process -> !holds(table, process));
        silent.keySet().removeIf(process -> !holds(table, process));
        returns.removeIf(batch -> !table.holders().containsValue(batch.holder()));
    }

    private static boolean holds(SlotTable table, Process process) {
        return table.holders().values().stream().anyMatch(holder -> holder.isProcess(process.node, process.startedMs));
    }
}
