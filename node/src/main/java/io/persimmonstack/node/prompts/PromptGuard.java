package io.persimmonstack.node.prompts;

import io.persimmonstack.coordination.crash.CrashEvidence;
import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.coordination.crash.PartStatus;
import io.persimmonstack.coordination.crash.WaitingPrompt;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.node.BoundedMap;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.PromptPart;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.router.request.Jitter;
import io.persimmonstack.runtime.event.EventLog;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides whether a request may be sent to a runner, by the parts of its prompt. A request with a part that ends
 * runners is refused, except that one node tries a single one after a pause, which grows with each end. Requests with a
 * suspected part are sent one at a time, so that an end shows which of them caused it. Thread-safe.
 */
public final class PromptGuard {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(PromptGuard.class));
    /** Pause after the end that blocked a part before a request with it is tried; it doubles with each further end. */
    static final long FIRST_TRIAL_AFTER_MS = 10_000;

    static final long MAX_TRIAL_PAUSE_MS = 300_000;
    /** Longest wait for the answer of another suspected request to begin. */
    private static final long MAX_TURN_WAIT_MS = 1_000;
    /** Retry-After of a request whose turn did not come. */
    private static final long TURN_RETRY_AFTER_MS = 1_000;

    private static final int MAX_TRIED_PARTS = 1_024;
    /** Ends that block a part. */
    private static final int ENDS_BEFORE_TRIALS = 3;

    private static final int MAX_DOUBLINGS = 10;

    private final String node;
    private final FleetView fleet;
    private final CrashEvidence evidence;
    private final LongSupplier nanoClock;
    private final Map<String, Long> triedNanos = BoundedMap.droppingLeastUsed(MAX_TRIED_PARTS);
    private final Semaphore turn = new Semaphore(1, true);
    private volatile Map<String, PartStatus> statuses = Map.of();
    private volatile Runnable onBlocked = () -> {};
    private volatile Runnable onReportDue = () -> {};

    private PromptGuard(String node, FleetView fleet, CrashEvidence evidence, LongSupplier nanoClock) {
        this.node = node;
        this.fleet = fleet;
        this.evidence = evidence;
        this.nanoClock = nanoClock;
    }

    /**
     * Returns a guard that has observed nothing.
     *
     * @param node name of this node
     * @param startedMs start time of its process, in Unix milliseconds
     * @param fleet lists the nodes, one of which tries each blocked part
     */
    public static PromptGuard create(String node, long startedMs, FleetView fleet) {
        return create(node, startedMs, fleet, System::nanoTime);
    }

    /** Returns a guard with its own source of monotonic time. */
    static PromptGuard create(String node, long startedMs, FleetView fleet, LongSupplier nanoClock) {
        return new PromptGuard(node, fleet, CrashEvidence.of(node + "@" + startedMs), nanoClock);
    }

    /** Sets the action to run when a part has been blocked; it must not block. */
    public void onBlocked(Runnable action) {
        onBlocked = action;
    }

    /** Sets the action to run when other nodes should hear from this one; it must not block. */
    public void onReportDue(Runnable action) {
        onReportDue = action;
    }

    /** Returns the refusal of a request with a blocked part, empty if it may wait for a runner. */
    public Optional<Refusal> refusal(CallerRequest request) {
        Map<String, PartStatus> current = statuses;
        if (current.isEmpty()) {
            return Optional.empty();
        }
        long nowNanos = nanoClock.getAsLong();
        for (String part : parts(request)) {
            if (current.get(part) instanceof PartStatus.Blocked blocked && !mayTry(part, blocked, nowNanos)) {
                return Optional.of(blockedRefusal(part, blocked, nowNanos));
            }
        }
        return Optional.empty();
    }

    /**
     * Lets a request be sent to a runner; waits for its turn if it has a suspected part.
     *
     * @param request request to send
     * @param latestNanos monotonic time until which it may wait
     * @return the permit, to be closed after the attempt
     * @throws RefusedException if a part is blocked, or the turn did not come
     * @throws InterruptedException if the thread is interrupted, because the caller has disconnected
     */
    public PromptPermit admit(ActiveRequest request, long latestNanos) throws RefusedException, InterruptedException {
        CallerRequest callerRequest = request.callerRequest();
        if (!isSuspected(callerRequest)) {
            return permit(callerRequest, Optional.empty());
        }
        long waitNanos = Math.min(TimeUnit.MILLISECONDS.toNanos(MAX_TURN_WAIT_MS), latestNanos - nanoClock.getAsLong());
        if (!turn.tryAcquire(waitNanos, TimeUnit.NANOSECONDS)) {
            String detail = "other requests whose prompts may end runners are tried";
            throw new RefusedException(Refusal.notRun("prompt-suspected", detail, Jitter.spread(TURN_RETRY_AFTER_MS)));
        }
        Optional<Refusal> refusal = beginTrial(callerRequest);
        if (refusal.isPresent()) {
            turn.release();
            throw new RefusedException(refusal.get());
        }
        return permit(callerRequest, Optional.of(turn));
    }

    /** Lets a request be sent to a runner that is to replace a silent one; empty if a part is suspected or blocked. */
    public Optional<PromptPermit> admitWithoutSuspicion(CallerRequest request) {
        return isSuspected(request) ? Optional.empty() : Optional.of(permit(request, Optional.empty()));
    }

    private PromptPermit permit(CallerRequest request, Optional<Semaphore> heldTurn) {
        return PromptPermit.of(this, request, nanoClock.getAsLong(), heldTurn);
    }

    private boolean isSuspected(CallerRequest request) {
        Map<String, PartStatus> current = statuses;
        return !current.isEmpty() && parts(request).stream().anyMatch(current::containsKey);
    }

    /** Returns the refusal of a request with a blocked part; otherwise notes that its blocked parts are tried now. */
    private synchronized Optional<Refusal> beginTrial(CallerRequest request) {
        Optional<Refusal> refusal = refusal(request);
        if (refusal.isEmpty()) {
            parts(request).stream()
                    .filter(part -> statuses.get(part) instanceof PartStatus.Blocked)
                    .forEach(part -> {
                        triedNanos.put(part, nanoClock.getAsLong());
                        LOG.write(NodeEvent.PART_TRIED, part, request.id());
                    });
        }
        return refusal;
    }

    /** Returns whether this node may try a request with a blocked part now, to see if it still ends runners. */
    private boolean mayTry(String part, PartStatus.Blocked blocked, long nowNanos) {
        return trialNanos(part, blocked) - nowNanos <= 0 && node.equals(trialNode(part));
    }

    private String trialNode(String part) {
        return RendezvousHash.preferred(part, fleet.current().peers().keySet()).orElse(node);
    }

    /** Returns when the next request with a blocked part may be sent. */
    private synchronized long trialNanos(String part, PartStatus.Blocked blocked) {
        int doublings = Math.clamp(blocked.ends() - ENDS_BEFORE_TRIALS, 0, MAX_DOUBLINGS);
        long pauseMs = Math.min(MAX_TRIAL_PAUSE_MS, FIRST_TRIAL_AFTER_MS << doublings);
        long pauseNanos = TimeUnit.MILLISECONDS.toNanos(pauseMs);
        Long tried = triedNanos.get(part);
        boolean triedLater = tried != null && tried - blocked.lastEndNanos() > 0;
        return (triedLater ? tried : blocked.lastEndNanos()) + pauseNanos;
    }

    private Refusal blockedRefusal(String part, PartStatus.Blocked blocked, long nowNanos) {
        long untilTrialMs = TimeUnit.NANOSECONDS.toMillis(trialNanos(part, blocked) - nowNanos);
        String detail = blocked.ends() + " runners ended while requests with part " + part
                + " of their prompts waited for the beginning of their answers";
        long retryAfterMs = Jitter.spread(Math.max(FIRST_TRIAL_AFTER_MS, untilTrialMs));
        return Refusal.notRun("prompt-blocked", detail, retryAfterMs);
    }

    private static List<String> parts(CallerRequest request) {
        return request.sharedParts().stream()
                .map(PromptPart::id)
                .map(CrashEvidence::key)
                .toList();
    }

    /**
     * Records that a runner process ended while a request waited there for the beginning of its answer.
     *
     * @param process process that ended
     * @param request request that waited
     * @param admittedNanos monotonic time at which it was let through
     */
    void recordEnd(RunnerProcess process, CallerRequest request, long admittedNanos) {
        long nowNanos = nanoClock.getAsLong();
        long nowMs = System.currentTimeMillis();
        long sentAtMs = nowMs - TimeUnit.NANOSECONDS.toMillis(nowNanos - admittedNanos);
        WaitingPrompt prompt = new WaitingPrompt(parts(request), sentAtMs);
        LOG.write(NodeEvent.RUNNER_ENDED, request.id(), process.runner(), process.startedMs(), request.loggedParts());
        synchronized (this) {
            String name = process.runner() + "@" + process.startedMs();
            evidence.recordEnd(name, nowMs, prompt, nowNanos);
        }
        publish();
    }

    /** Records that the answer to a request has begun. */
    void recordAnswer(CallerRequest request) {
        if (request.sharedParts().isEmpty()) {
            return;
        }
        synchronized (this) {
            evidence.recordAnswer(parts(request));
        }
        publish();
    }

    /** Takes a report of another node; returns whether it is new here. */
    boolean merge(CrashReport report) {
        boolean isNew;
        synchronized (this) {
            isNew = evidence.merge(report, nanoClock.getAsLong());
        }
        publish();
        return isNew;
    }

    /** Takes the last report of an earlier process of this node, whose observations this one reports from now on. */
    void adopt(CrashReport report) {
        merge(report);
        synchronized (this) {
            evidence.adopt(report);
        }
    }

    /** Drops old observations. */
    void expire() {
        synchronized (this) {
            evidence.expire(nanoClock.getAsLong());
        }
        publish();
    }

    /** Returns this node's next report, empty if others need not hear of it. */
    synchronized Optional<CrashReport> takeDueReport() {
        return evidence.isReportDue() ? Optional.of(evidence.nextReport()) : Optional.empty();
    }

    /** Makes the present statuses visible to all threads and tells what has changed. */
    private void publish() {
        boolean due;
        List<String> blocked = new ArrayList<>();
        synchronized (this) {
            Map<String, PartStatus> now = evidence.statuses();
            due = evidence.isReportDue();
            if (now != statuses) {
                blocked.addAll(logChanges(blockedParts(statuses), now));
                statuses = now;
            }
        }
        if (!blocked.isEmpty()) {
            onBlocked.run();
        }
        if (due) {
            onReportDue.run();
        }
    }

    /** Logs which parts have been blocked or freed; returns those that have been blocked. */
    private static List<String> logChanges(Set<String> before, Map<String, PartStatus> now) {
        List<String> blocked = new ArrayList<>();
        now.forEach((part, status) -> {
            if (status instanceof PartStatus.Blocked && !before.contains(part)) {
                blocked.add(part);
                LOG.write(NodeEvent.PART_BLOCKED, part, status.ends());
            }
        });
        before.stream()
                .filter(part -> !(now.get(part) instanceof PartStatus.Blocked))
                .forEach(part -> LOG.write(NodeEvent.PART_FREED, part));
        return blocked;
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
