package io.persimmonstack.router.filter;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.claim.ClaimClient;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.ProblemDocument;
import io.persimmonstack.router.request.Ran;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.RelayedAnswer;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.runtime.trace.Tracing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Claims the idempotency key of a request that must run at most once before the request is sent, and records its
 * outcome. The refusal of a request that did not run is recorded too, so that a retry with the same key gets the same,
 * still correct, answer. If the record of a key that the caller supplied could not be read, an earlier request with
 * that key may have run, and the refusal says so.
 */
public final class ClaimFilter implements Filter {
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final long RETRY_AFTER_MS = 2_000;
    /** Time left for sending the request once its key is claimed, in addition to the mean service time. */
    private static final long DISPATCH_RESERVE_MS = 20;

    private final ClaimClient claimClient;
    private final Admission admission;
    private final Tracing tracing;
    private final RouterMetrics metrics;
    private final int maxWaitingRequests;
    private final AtomicInteger waitingRequests = new AtomicInteger();

    private ClaimFilter(
            ClaimClient claimClient,
            Admission admission,
            Tracing tracing,
            RouterMetrics metrics,
            int maxWaitingRequests) {
        this.claimClient = claimClient;
        this.admission = admission;
        this.tracing = tracing;
        this.metrics = metrics;
        this.maxWaitingRequests = maxWaitingRequests;
    }

    /**
     * Returns the filter.
     *
     * @param claimClient claims keys and records outcomes
     * @param admission predicts whether the deadline can be met
     * @param tracing supplies the trace headers for other routers
     * @param metrics counts the results of claims
     * @param maxWaitingRequests how many requests may wait for their claims at the same time; more are refused
     * @return the filter
     */
    public static ClaimFilter of(
            ClaimClient claimClient,
            Admission admission,
            Tracing tracing,
            RouterMetrics metrics,
            int maxWaitingRequests) {
        ClaimFilter filter = new ClaimFilter(claimClient, admission, tracing, metrics, maxWaitingRequests);
        metrics.gauge("claims.waiting", filter.waitingRequests::get);
        return filter;
    }

    @Override
    public String name() {
        return "claim";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        if (request.grant().repeatable()) {
            next.proceed(request);
            return;
        }
        request.finishWithoutCaller();
        request.idempotencyKey(suppliedOrGeneratedKey(request));
        Claim claim = newClaim(request);
        ClaimResult result = checkAndClaim(request, claim);
        metrics.countClaimResult(result.getClass().getSimpleName());
        switch (result) {
            case ClaimResult.Claimed claimed -> runClaimed(request, claim, next);
            case ClaimResult.AlreadyDone alreadyDone -> replay(request, alreadyDone.outcome());
            case ClaimResult.AlreadyClaimed alreadyClaimed ->
                throw new Refusal(
                                RefusalCode.ALREADY_CLAIMED,
                                "another request with this key was accepted; its outcome is not known",
                                Ran.UNKNOWN,
                                java.util.OptionalLong.of(RETRY_AFTER_MS))
                        .exception();
            case ClaimResult.FingerprintDiffers differs ->
                throw Refusal.notRun(RefusalCode.KEY_REUSED, "the key was used with another method, path or body")
                        .exception();
            case ClaimResult.NotClaimed notClaimed ->
                throw keyStateUnknown(request, kvUnavailable(notClaimed.reason()));
            case ClaimResult.Unsettled unsettled -> throw refuseUnsettled(request, claim, unsettled.reason());
        }
    }

    /** Claims the key, or refuses if the deadline cannot be met or too many requests wait for claims. */
    private ClaimResult checkAndClaim(Request request, Claim claim) throws RefusalException, InterruptedException {
        try {
            admission.checkDeadline(request);
            long reservedMs = DISPATCH_RESERVE_MS + Math.round(admission.serviceMs(request.work()));
            return claimWithinLimit(request, claim, Math.max(1, request.remainingMs() - reservedMs));
        } catch (RefusalException e) {
            throw keyStateUnknown(request, e.refusal());
        }
    }

    /** Refuses a request that did not run itself; an earlier one with the key that the caller supplied may have run. */
    private static RefusalException keyStateUnknown(Request request, Refusal refusal) {
        if (suppliedKey(request).isEmpty()) {
            return refusal.exception();
        }
        String detail =
                refusal.detail() + "; an earlier request with this key may have run, ask again with the same one";
        return new Refusal(refusal.code(), detail, Ran.UNKNOWN, refusal.retryAfterMs()).exception();
    }

    /** Claims the key, or refuses at once if too many requests already wait for their claims. */
    private ClaimResult claimWithinLimit(Request request, Claim claim, long waitMs)
            throws RefusalException, InterruptedException {
        try {
            if (waitingRequests.incrementAndGet() > maxWaitingRequests) {
                String detail = maxWaitingRequests + " requests wait for the claims of their keys";
                throw Refusal.notRun(RefusalCode.OVERLOADED, detail, RETRY_AFTER_MS)
                        .exception();
            }
            return claimClient.claim(claim, waitMs, tracing.inject(request.trace()));
        } finally {
            waitingRequests.decrementAndGet();
        }
    }

    private static Refusal kvUnavailable(String reason) {
        return Refusal.notRun(RefusalCode.KV_UNAVAILABLE, "no claim could be recorded: " + reason, RETRY_AFTER_MS);
    }

    /** Records the refusal, because the claim may still get recorded: a retry then learns that nothing ran. */
    private RefusalException refuseUnsettled(Request request, Claim claim, String reason) {
        Refusal refusal = kvUnavailable(reason);
        claimClient.settle(claim, refusalOutcome(withKeyConsumed(refusal)), tracing.inject(request.trace()));
        return keyStateUnknown(request, refusal);
    }

    /** Returns the key that the caller supplied. A generated key is never used by another request. */
    private static Optional<String> suppliedKey(Request request) {
        return request.message().header("idempotency-key");
    }

    /** Returns the supplied key, after checking it, or a random UUID. */
    private static String suppliedOrGeneratedKey(Request request) throws RefusalException {
        Optional<String> supplied = suppliedKey(request);
        if (supplied.isEmpty()) {
            return UUID.randomUUID().toString();
        }
        String key = supplied.get();
        boolean printable = key.chars().allMatch(c -> c > ' ' && c <= '~');
        if (key.isEmpty() || key.length() > MAX_KEY_CHARACTERS || !printable) {
            throw Refusal.notRun(
                            RefusalCode.MALFORMED,
                            "Idempotency-Key of " + key.length() + " characters; expected 1 to " + MAX_KEY_CHARACTERS
                                    + " printable ASCII characters without spaces")
                    .exception();
        }
        return key;
    }

    /** Creates the claim; keys of different callers are independent. */
    private static Claim newClaim(Request request) {
        String key = request.caller() + '/' + request.idempotencyKey().orElseThrow();
        return Claim.of(key, request.id(), fingerprint(request.message()), System.currentTimeMillis());
    }

    /** Returns a hash of method, path, query and body, which tells a retry from a different request. */
    private static String fingerprint(CallerMessage message) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String requestLine = message.method() + ' ' + message.path() + '?' + message.query() + '\n';
            digest.update(requestLine.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(message.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Runs a request that holds its key and records its answer, or the refusal if it provably did not run. */
    private void runClaimed(Request request, Claim claim, FilterChain next)
            throws RouterException, InterruptedException {
        try {
            if (request.remainingMs() == 0) {
                throw Refusal.notRun(RefusalCode.DEADLINE, "the deadline passed while the key was claimed")
                        .exception();
            }
            next.proceed(request);
        } catch (RefusalException e) {
            if (e.refusal().ran() != Ran.NO) {
                throw e;
            }
            Refusal refusal = withKeyConsumed(e.refusal());
            claimClient.settle(claim, refusalOutcome(refusal), tracing.inject(request.trace()));
            throw refusal.exception();
        } finally {
            recordIfComplete(request, claim);
        }
    }

    /** Records a complete answer, a whole one even if the caller left before it was sent; else records nothing. */
    private void recordIfComplete(Request request, Claim claim) {
        RelayedAnswer answer = request.relayed();
        if (answer.complete()) {
            Optional<byte[]> body = answer.bodyOmitted() ? Optional.empty() : Optional.of(answer.body());
            ClaimOutcome outcome = new ClaimOutcome(answer.status(), answer.contentType(), body);
            claimClient.settle(claim, outcome, tracing.inject(request.trace()));
        }
    }

    /** Returns the refusal with the advice to retry with a new key, because retries with this one replay it. */
    private static Refusal withKeyConsumed(Refusal refusal) {
        String detail = refusal.detail() + "; the key is used up, ask again with another one";
        return new Refusal(refusal.code(), detail, refusal.ran(), refusal.retryAfterMs());
    }

    private static ClaimOutcome refusalOutcome(Refusal refusal) {
        return ClaimOutcome.of(refusal.code().status(), ProblemDocument.MEDIA_TYPE, ProblemDocument.encode(refusal));
    }

    /** Sends a recorded outcome; refuses if the body was too large to be recorded. */
    private static void replay(Request request, ClaimOutcome outcome) throws RouterException {
        if (outcome.body().isEmpty()) {
            throw Refusal.unknown(
                            RefusalCode.ALREADY_DONE,
                            "the request with this key ran and was answered with status " + outcome.status())
                    .exception();
        }
        List<Reply.Header> headers = List.of(
                new Reply.Header("Content-Type", outcome.contentType()),
                new Reply.Header("Idempotency-Replayed", "true"));
        request.reply().whole(outcome.status(), headers, outcome.body().get());
    }
}
