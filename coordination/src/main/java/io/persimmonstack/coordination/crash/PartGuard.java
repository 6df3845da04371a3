package io.persimmonstack.coordination.crash;

import io.persimmonstack.coordination.BoundedMap;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.hash.ShortKey;
import io.persimmonstack.coordination.time.TimeSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Decides whether a request may be sent to a process, by the parts of its prompt. One with a part that ends processes
 * is blocked, except that one node tries a single request after a pause, which grows with each end. Requests with a
 * suspected part are sent one at a time, so that an end shows which of them caused it. Thread-safe.
 *
 * <pre>{@code
 * switch (guard.admit(parts, maxWaitNanos)) {
 *     case Admission.Admitted admitted -> send(request, admitted.permit());
 *     case Admission.Blocked blocked -> refuse(request, blocked.part());
 *     case Admission.Busy busy -> refuseForNow(request);
 * }
 * }</pre>
 */
public final class PartGuard {
    /** Pause after the end that blocked a part before a request with it is tried; it doubles with each further end. */
    public static final long FIRST_TRIAL_AFTER_MS = 10_000;

    static final long MAX_TRIAL_PAUSE_MS = 300_000;
    private static final int MAX_TRIED_PARTS = 1_024;
    private static final int MAX_DOUBLINGS = 10;

    private final String node;
    private final Supplier<? extends Collection<String>> nodes;
    private final CrashEvidence evidence;
    private final Listener listener;
    private final TimeSource time;
    private final Map<String, Long> triedNanos = BoundedMap.droppingFirstAdded(MAX_TRIED_PARTS);
    private final Semaphore turn = new Semaphore(1, true);
    private volatile Map<String, PartStatus> statuses = Map.of();

    /** Hears of what the guard decides; must not block. */
    public interface Listener {
        /** Called when requests with a part are blocked from now on. */
        void blocked(String part, int ends);

        /** Called when requests with a part are no longer blocked. */
        void freed(String part);

        /** Called when a single request with a blocked part is let through. */
        void tried(String part);

        /** Called when other nodes should hear from this one, see {@link PartGuard#takeDueReport}. */
        void reportDue();
    }

    private PartGuard(
            String node,
            Supplier<? extends Collection<String>> nodes,
            CrashEvidence evidence,
            Listener listener,
            TimeSource time) {
        this.node = node;
        this.nodes = nodes;
        this.evidence = evidence;
        this.listener = listener;
        this.time = time;
    }

    /**
     * Returns a guard that has observed nothing.
     *
     * @param node name of this node
     * @param reporter name of its process, which no other process has
     * @param nodes returns the names of all nodes, one of which tries each blocked part
     * @param listener hears of what the guard decides
     * @param time clocks
     */
    public static PartGuard create(
            String node,
            String reporter,
            Supplier<? extends Collection<String>> nodes,
            Listener listener,
            TimeSource time) {
        return new PartGuard(node, nodes, CrashEvidence.of(reporter), listener, time);
    }

    /** Returns the blocked part of a prompt, empty if a request with it may wait for a process. */
    public Optional<BlockedPart> blockedPart(List<String> parts) {
        Map<String, PartStatus> current = statuses;
        if (current.isEmpty()) {
            return Optional.empty();
        }
        long nowNanos = time.nanoTime();
        for (String part : parts) {
            if (current.get(ShortKey.of(part)) instanceof PartStatus.Blocked blocked) {
                long untilTrialNanos = trialNanos(ShortKey.of(part), blocked) - nowNanos;
                if (untilTrialNanos > 0 || !node.equals(trialNode(part))) {
                    long untilTrialMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, untilTrialNanos));
                    return Optional.of(new BlockedPart(ShortKey.of(part), blocked.ends(), untilTrialMs));
                }
            }
        }
        return Optional.empty();
    }

    /** Lets a request be sent, unless a part of its prompt is suspected or blocked; then returns empty. */
    public Optional<PartPermit> admitUnsuspected(List<String> parts) {
        return isSuspected(parts)
                ? Optional.empty()
                : Optional.of(PartPermit.of(this, parts, time.nanoTime(), Optional.empty()));
    }

    /** Returns whether a part of a prompt is suspected or blocked. */
    public boolean isSuspected(List<String> parts) {
        Map<String, PartStatus> current = statuses;
        return !current.isEmpty() && parts.stream().map(ShortKey::of).anyMatch(current::containsKey);
    }

    /**
     * Lets a request be sent; waits for its turn if it has a suspected part.
     *
     * @param parts shared parts of its prompt
     * @param maxWaitNanos longest wait
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public Admission admit(List<String> parts, long maxWaitNanos) throws InterruptedException {
        Optional<PartPermit> unsuspected = admitUnsuspected(parts);
        if (unsuspected.isPresent()) {
            return new Admission.Admitted(unsuspected.get());
        }
        if (!turn.tryAcquire(maxWaitNanos, TimeUnit.NANOSECONDS)) {
            return new Admission.Busy();
        }
        Optional<BlockedPart> blocked = beginTrial(parts);
        if (blocked.isPresent()) {
            turn.release();
            return new Admission.Blocked(blocked.get());
        }
        return new Admission.Admitted(PartPermit.of(this, parts, time.nanoTime(), Optional.of(turn)));
    }

    /** Returns the blocked part of a prompt; otherwise notes that its blocked parts are tried now. */
    private synchronized Optional<BlockedPart> beginTrial(List<String> parts) {
        Optional<BlockedPart> blocked = blockedPart(parts);
        if (blocked.isEmpty()) {
            parts.stream()
                    .map(ShortKey::of)
                    .filter(part -> statuses.get(part) instanceof PartStatus.Blocked)
                    .forEach(part -> {
                        triedNanos.put(part, time.nanoTime());
                        listener.tried(part);
                    });
        }
        return blocked;
    }

    private String trialNode(String part) {
        return RendezvousHash.preferred(ShortKey.of(part), nodes.get()).orElse(node);
    }

    /** Returns when the next request with a blocked part may be sent. */
    private synchronized long trialNanos(String part, PartStatus.Blocked blocked) {
        int doublings = Math.clamp(blocked.ends() - PartAssessment.BLOCKING_ENDS, 0, MAX_DOUBLINGS);
        long pauseMs = Math.min(MAX_TRIAL_PAUSE_MS, FIRST_TRIAL_AFTER_MS << doublings);
        Long tried = triedNanos.get(part);
        boolean triedLater = tried != null && tried - blocked.lastEndNanos() > 0;
        return (triedLater ? tried : blocked.lastEndNanos()) + TimeUnit.MILLISECONDS.toNanos(pauseMs);
    }

    /** Records that a process ended while a request waited there for the beginning of its answer. */
    void recordEnd(String process, List<String> parts, long admittedNanos) {
        synchronized (this) {
            long nowNanos = time.nanoTime();
            long nowMs = time.currentTimeMillis();
            long sentAtMs = nowMs - TimeUnit.NANOSECONDS.toMillis(nowNanos - admittedNanos);
            evidence.recordEnd(process, nowMs, new WaitingPrompt(parts, sentAtMs), nowNanos);
        }
        publish();
    }

    /** Records that the answer to a request has begun. */
    void recordAnswer(List<String> parts) {
        if (parts.isEmpty()) {
            return;
        }
        synchronized (this) {
            evidence.recordAnswer(parts);
        }
        publish();
    }

    /** Takes a report of another node; returns whether it is new here. */
    public boolean merge(CrashReport report) {
        boolean isNew;
        synchronized (this) {
            isNew = evidence.merge(report, time.nanoTime());
        }
        publish();
        return isNew;
    }

    /** Takes the last report of an earlier process of this node, whose observations this one reports from now on. */
    public void adopt(CrashReport report) {
        merge(report);
        synchronized (this) {
            evidence.adopt(report);
        }
    }

    /** Drops old observations; to be called regularly. */
    public void expire() {
        synchronized (this) {
            evidence.expire(time.nanoTime());
        }
        publish();
    }

    /** Returns this node's next report, empty if others need not hear of it. */
    public synchronized Optional<CrashReport> takeDueReport() {
        return evidence.isReportDue() ? Optional.of(evidence.nextReport()) : Optional.empty();
    }

    /** Makes the present statuses visible to all threads and tells the listener what has changed. */
    private void publish() {
        boolean due;
        Map<String, PartStatus> before;
        Map<String, PartStatus> now;
        synchronized (this) {
            due = evidence.isReportDue();
            before = statuses;
            now = evidence.statuses();
            statuses = now;
        }
        if (now != before) {
            tellChanges(blockedParts(before), now);
        }
        if (due) {
            listener.reportDue();
        }
    }

    private void tellChanges(Set<String> before, Map<String, PartStatus> now) {
        Set<String> blocked = blockedParts(now);
        blocked.stream()
                .filter(part -> !before.contains(part))
                .forEach(part -> listener.blocked(part, now.get(part).ends()));
        before.stream().filter(part -> !blocked.contains(part)).forEach(listener::freed);
    }

    private static Set<String> blockedParts(Map<String, PartStatus> statuses) {
        Set<String> blocked = new HashSet<>(statuses.keySet());
        blocked.removeIf(part -> !(statuses.get(part) instanceof PartStatus.Blocked));
        return blocked;
    }

    /** Returns the number of blocked parts. */
    public int blockedCount() {
        return blockedParts(statuses).size();
    }

    /** Returns the number of suspected parts. */
    public int suspectedCount() {
        return statuses.size() - blockedCount();
    }
}
