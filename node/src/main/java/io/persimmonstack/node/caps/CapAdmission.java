package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.CapShare;
import io.persimmonstack.coordination.cap.TokenTaker;
import io.persimmonstack.node.config.UsageCap;
import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Admits requests of workspaces within their caps. Thread-safe; blocks while it asks another node for tokens. */
public final class CapAdmission {
    /** Retry-After while no holder of a slot answers. */
    private static final long UNKNOWN_RETRY_MS = 300;

    /** Time for which a request waits at most until a node that has just started knows the holders. */
    private static final long START_WAIT_MS = 1_500;
    /** Longest time for which a request without a target latency waits for tokens. */
    private static final long DEFAULT_WAIT_MS = 50;
    /** Part of the target latency for which a request may wait for tokens, as its divisor. */
    private static final long TARGET_WAIT_DIVISOR = 4;

    private final CapShares shares;
    private final TokenTaker taker;
    private final CountDownLatch tableKnown;
    private final long maxWaitMs;

    CapAdmission(CapShares shares, TokenTaker taker, CountDownLatch tableKnown, long maxWaitMs) {
        this.shares = shares;
        this.taker = taker;
        this.tableKnown = tableKnown;
        this.maxWaitMs = maxWaitMs;
    }

    /**
     * Counts a request of a workspace.
     *
     * @param workspace workspace, empty for a request without a key
     * @param request the request
     * @param targetLatencyMs target latency of its route, in milliseconds; 0 for none
     * @return what it was counted for
     * @throws RefusedException if the workspace is over its cap, or if no node answers that knows its usage
     */
    public AdmittedTokens admit(Optional<Workspace> workspace, CallerRequest request, int targetLatencyMs)
            throws RefusedException {
        Optional<UsageCap> cap = workspace.flatMap(Workspace::cap).filter(CapShares::limits);
        if (cap.isEmpty()) {
            return AdmittedTokens.none();
        }
        String name = workspace.get().name();
        long need = count(cap.get(), request);
        return switch (take(name, shares.shareOf(name, cap.get()), need, waitMs(targetLatencyMs))) {
            case TokenTaker.Decision.Admitted admitted -> AdmittedTokens.of(taker, name, admitted.batches());
            case TokenTaker.Decision.OverCap over -> throw new RefusedException(overCap(name, need, over.retryMs()));
            case TokenTaker.Decision.Unknown unknown -> throw new RefusedException(capUnknown(name));
        };
    }

    /** Returns for how long a request waits for tokens; one that had to wait for longer is refused at once. */
    private long waitMs(int targetLatencyMs) {
        return Math.min(maxWaitMs, targetLatencyMs > 0 ? targetLatencyMs / TARGET_WAIT_DIVISOR : DEFAULT_WAIT_MS);
    }

    /** Returns what is known of the tokens for a request; takes none and asks no node. Empty without a cap. */
    public Optional<CapOutlook> outlook(Optional<Workspace> workspace, CallerRequest request) {
        return workspace.flatMap(Workspace::cap).filter(CapShares::limits).map(cap -> {
            String name = workspace.get().name();
            long need = count(cap, request);
            TokenTaker.Outlook outlook = taker.outlook(name, shares.shareOf(name, cap), need);
            Optional<Refusal> refusal = switch (outlook) {
                case TokenTaker.Outlook.Enough enough -> Optional.empty();
                case TokenTaker.Outlook.Asked asked -> Optional.empty();
                case TokenTaker.Outlook.Later later -> Optional.of(overCap(name, need, later.retryMs()));
                case TokenTaker.Outlook.NoHolder noHolder -> Optional.of(capUnknown(name));
            };
            return new CapOutlook(need, outlook, refusal);
        });
    }

    private static Refusal overCap(String workspace, long need, long retryMs) {
        return Refusal.overCap("workspace " + workspace + ", request counts " + need, retryMs);
    }

    private static Refusal capUnknown(String workspace) {
        return Refusal.notRun("cap-unknown", "no holder of tokens of " + workspace, UNKNOWN_RETRY_MS);
    }

    /** Takes tokens, after a short wait if that is all that is missing. An interrupt ends the wait. */
    private TokenTaker.Decision take(String name, CapShare share, long need, long waitMs) {
        try {
            tableKnown.await(START_WAIT_MS, TimeUnit.MILLISECONDS);
            TokenTaker.Decision decision = taker.take(name, share, need);
            if (decision instanceof TokenTaker.Decision.OverCap over && over.retryMs() <= waitMs) {
                TimeUnit.MILLISECONDS.sleep(over.retryMs());
                return taker.take(name, share, need);
            }
            return decision;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new TokenTaker.Decision.Unknown();
        }
    }

    /** Returns what a request counts. Without a readable token count it counts as the cap says for such requests. */
    private static long count(UsageCap cap, CallerRequest request) {
        long stated = (long) request.tokens().prompt() + request.tokens().maxOutput();
        return switch (cap.unit()) {
            case REQUESTS -> 1;
            case TOKENS -> stated == 0 ? cap.plainTokens() : stated;
        };
    }
}
