package io.persimmonstack.coordination.cap;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Slots that one process holds, with the buckets of the workspaces. It grants tokens only while the leader's last
 * answer lets it go on. Not thread-safe.
 */
public final class HeldSlots {
    /**
     * Largest part of the tokens in a bucket that is granted ahead of need. Such tokens may expire unused, so that
     * hardly any are granted where tokens are scarce.
     */
    private static final double MAX_AHEAD_SHARE = 0.125;

    private final String node;
    private final long startedMs;
    private final Map<Integer, Slot> slots = new HashMap<>();
    private Optional<ClockReading> rightFrom = Optional.empty();
    private long rightMs;
    private long answeredTerm;
    private long lastStamp;
    private final Map<Integer, SlotHolder> released = new HashMap<>();
    private boolean leaving;

    /** Slot with its buckets by workspace. */
    private static final class Slot {
        private final SlotHolder holder;
        private final long startNanos;
        private final long firstStamp;
        private final Map<String, TokenBucket> buckets = new HashMap<>();

        private Slot(SlotHolder holder, long startNanos, long firstStamp) {
            this.holder = holder;
            this.startNanos = startNanos;
            this.firstStamp = firstStamp;
        }
    }

    /** Answer to a request for tokens. */
    public sealed interface Answer {
        /**
         * The request was granted.
         *
         * @param batch tokens needed, and those ahead of need
         */
        record Granted(TokenBatch batch) implements Answer {}

        /**
         * There is not enough.
         *
         * @param retryMs time until as many tokens as are missing have flowed in, in milliseconds; tells what the
         *     fullest slot has, also for a need that is larger than what a slot holds
         */
        record Exhausted(long retryMs) implements Answer {}

        /** This process may not grant tokens of the workspace. */
        record NotHeld() implements Answer {}
    }

    /**
     * Creates the slots of a process, none at first.
     *
     * @param node name of the node
     * @param startedMs start of this process, by its own clock
     */
    public HeldSlots(String node, long startedMs) {
        this.node = node;
        this.startedMs = startedMs;
    }

    /**
     * Takes an answer of the leader.
     *
     * @param table table that the leader has written
     * @param sent moment at which this process sent the report that the leader answered
     * @param validMs for how long it may go on from then, in milliseconds; empty if the answer does not extend it
     * @param now present moment
     */
    public void update(SlotTable table, ClockReading sent, OptionalLong validMs, ClockReading now) {
        if (table.term() < answeredTerm) {
            return;
        }
        answeredTerm = table.term();
        released.entrySet()
                .removeIf(entry -> !entry.getValue().equals(table.holders().get(entry.getKey())));
        slots.values().removeIf(slot -> !table.holders().containsValue(slot.holder));
        table.holders().forEach((slot, holder) -> {
            boolean isNew = !slots.containsKey(slot) || !slots.get(slot).holder.equals(holder);
            if (!holder.isProcess(node, startedMs)) {
                slots.remove(slot);
            } else if (leaving) {
                released.put(slot, holder);
            } else if (isNew && !holder.equals(released.get(slot))) {
                slots.put(slot, new Slot(holder, now.monotonicNanos(), lastStamp + 1));
            }
        });
        if (validMs.isPresent()) {
            rightFrom = Optional.of(sent);
            rightMs = validMs.getAsLong();
        }
    }

    /** Returns whether this process may grant tokens of its slots. */
    public boolean mayGrant(ClockReading now) {
        return rightFrom.isPresent() && now.msSince(rightFrom.get()) < rightMs;
    }

    /** Returns the assignments by which this process may grant tokens now. */
    public Map<Integer, SlotHolder> held(ClockReading now) {
        Map<Integer, SlotHolder> held = new HashMap<>();
        if (mayGrant(now)) {
            slots.forEach((number, slot) -> held.put(number, slot.holder));
        }
        return held;
    }

    /** Stops granting for good, since the process is about to end. */
    public void releaseAll() {
        leaving = true;
        releaseDownTo(0);
    }

    /**
     * Releases the slots beyond a number, if all have been held for some time. The first nodes that report to a new
     * leader get all slots; this spreads them over those that report later.
     *
     * @param count number of slots to keep
     * @param heldMs time for which the slots must have been held, in milliseconds
     * @param now present moment
     * @return whether any were released
     */
    public boolean releaseSurplus(int count, long heldMs, ClockReading now) {
        long sinceNanos = now.monotonicNanos() - TimeUnit.MILLISECONDS.toNanos(heldMs);
        boolean settled = slots.values().stream().allMatch(slot -> slot.startNanos - sinceNanos <= 0);
        if (!settled || slots.size() <= count) {
            return false;
        }
        releaseDownTo(count);
        return true;
    }

    private void releaseDownTo(int count) {
        List<Integer> surplus = slots.keySet().stream().skip(count).toList();
        surplus.forEach(slot -> released.put(slot, slots.remove(slot).holder));
    }

    /** Returns the assignments that were released and that the leader's table still has. */
    public Map<Integer, SlotHolder> released() {
        return Map.copyOf(released);
    }

    /** Returns whether the process is about to end and takes no slots. */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Grants tokens of the fullest of its slots that the workspace uses.
     *
     * @param workspace name of the workspace
     * @param share share of its cap that belongs to each slot
     * @param need tokens that are granted completely or not at all
     * @param ahead tokens that are granted as far as there are plenty
     * @param now present moment
     */
    public Answer take(String workspace, CapShare share, long need, long ahead, ClockReading now) {
        long nowNanos = now.monotonicNanos();
        List<Integer> numbers =
                share.slots().stream().filter(slots::containsKey).toList();
        if (numbers.isEmpty() || !mayGrant(now)) {
            return new Answer.NotHeld();
        }
        int fullest = numbers.getFirst();
        for (int number : numbers) {
            boolean fuller = bucket(number, workspace, share, nowNanos).level(nowNanos)
                    > bucket(fullest, workspace, share, nowNanos).level(nowNanos);
            fullest = fuller ? number : fullest;
        }
        TokenBucket bucket = bucket(fullest, workspace, share, nowNanos);
        if (!bucket.tryTake(need, ++lastStamp, nowNanos)) {
            return new Answer.Exhausted(TimeUnit.NANOSECONDS.toMillis(bucket.waitNanos(need, nowNanos)) + 1);
        }
        long granted = need + bucket.takeAhead(ahead, MAX_AHEAD_SHARE);
        return new Answer.Granted(new TokenBatch(slots.get(fullest).holder, fullest, lastStamp, granted));
    }

    /** Takes back tokens that were granted and not used; those of another assignment are ignored. */
    public void giveBack(String workspace, int slot, long stamp, long tokens, ClockReading now) {
        Slot held = slots.get(slot);
        if (held != null && held.buckets.containsKey(workspace)) {
            held.buckets.get(workspace).giveBack(tokens, stamp, now.monotonicNanos());
        }
    }

    private TokenBucket bucket(int number, String workspace, CapShare share, long nowNanos) {
        Slot slot = slots.get(number);
        TokenBucket bucket = slot.buckets.computeIfAbsent(
                workspace, name -> new TokenBucket(share, slot.startNanos, slot.firstStamp));
        bucket.reshape(share, nowNanos, lastStamp + 1);
        return bucket;
    }
}
