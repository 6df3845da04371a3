package io.persimmonstack.router.filter;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.claim.ClaimDesk;
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
 * Claims the idempotency key of a request that may not be repeated before anything is sent, and records its outcome.
 * A refused request that did not run records the refusal: a repeat of its key gets the same, still true, answer. Where
 * the record of a caller's own key could not be read, an earlier request with it may have run, and the refusal says so.
 */
public final class ClaimFilter implements Filter {
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final long KV_RETRY_MS = 2_000;
    private static final long DISPATCH_RESERVE_MS = 20;

    private final ClaimDesk desk;
    private final Admission admission;
    private final Tracing tracing;
    private final RouterMetrics metrics;
    private final int maxWaiting;
    private final AtomicInteger waiting = new AtomicInteger();

    private ClaimFilter(ClaimDesk desk, Admission admission, Tracing tracing, RouterMetrics metrics, int maxWaiting) {
        this.desk = desk;
        this.admission = admission;
        this.tracing = tracing;
        this.metrics = metrics;
        this.maxWaiting = maxWaiting;
    }

    /**
     * Returns the filter.
     *
     * @param desk where keys are claimed
     * @param admission predicts whether the deadline can be met
     * @param tracing carries the trace to other routers
     * @param metrics where counts go
     * @param maxWaiting requests that may wait for their claims at once
     * @return the filter
     */
    public static ClaimFilter of(
            ClaimDesk desk, Admission admission, Tracing tracing, RouterMetrics metrics, int maxWaiting) {
        ClaimFilter filter = new ClaimFilter(desk, admission, tracing, metrics, maxWaiting);
        metrics.gauge("claims.waiting", filter.waiting::get);
        return filter;
    }

    @Override
    public String name() {
        return "claim";
    }

    @Override
    public void handle(Request request, Chain next) throws RouterException, InterruptedException {
        if (request.grant().repeatable()) {
            next.proceed(request);
            return;
        }
        request.finishWithoutCaller();
        request.idempotencyKey(key(request));
        Claim claim = claim(request);
        ClaimResult result = claimed(request, claim);
        metrics.countClaimResult(result.getClass().getSimpleName());
        switch (result) {
            case ClaimResult.Claimed claimed -> run(request, claim, next);
            case ClaimResult.AlreadyDone done -> repeat(request, done.outcome());
            case ClaimResult.AlreadyClaimed taken ->
                throw new Refusal(
                                RefusalCode.ALREADY_CLAIMED,
                                "another request with this key was accepted; its outcome is not known",
                                Ran.UNKNOWN,
                                java.util.OptionalLong.of(KV_RETRY_MS))
                        .exception();
            case ClaimResult.FingerprintDiffers differs ->
                throw Refusal.notRun(RefusalCode.KEY_REUSED, "the key was used with another method, path or body")
                        .exception();
            case ClaimResult.NotClaimed not -> throw keyNotRead(request, unavailable(not.reason()));
            case ClaimResult.Unsettled unsettled -> throw unsettled(request, claim, unsettled.reason());
        }
    }

    private ClaimResult claimed(Request request, Claim claim) throws RefusalException, InterruptedException {
        try {
            admission.checkDeadline(request);
            long reserveMs = DISPATCH_RESERVE_MS + Math.round(admission.serviceMs(request.work()));
            return claim(request, claim, Math.max(1, request.leftMs() - reserveMs));
        } catch (RefusalException e) {
            throw keyNotRead(request, e.refusal());
        }
    }

    /** Returns a refusal of a request that did not run, though an earlier one with the caller's key may have. */
    private static RefusalException keyNotRead(Request request, Refusal refusal) {
        if (namedKey(request).isEmpty()) {
            return refusal.exception();
        }
        String detail =
                refusal.detail() + "; an earlier request with this key may have run, ask again with the same one";
        return new Refusal(refusal.code(), detail, Ran.UNKNOWN, refusal.retryAfterMs()).exception();
    }

    private ClaimResult claim(Request request, Claim claim, long waitMs) throws RefusalException, InterruptedException {
        try {
            if (waiting.incrementAndGet() > maxWaiting) {
                String detail = maxWaiting + " requests wait for the claims of their keys";
                throw Refusal.notRun(RefusalCode.OVERLOADED, detail, KV_RETRY_MS)
                        .exception();
            }
            return desk.claim(claim, waitMs, tracing.inject(request.trace()));
        } finally {
            waiting.decrementAndGet();
        }
    }

    private static Refusal unavailable(String reason) {
        return Refusal.notRun(RefusalCode.KV_UNAVAILABLE, "no claim could be recorded: " + reason, KV_RETRY_MS);
    }

    /** Records the refusal, since the claim may be recorded yet: a repeat then learns that nothing ran. */
    private RefusalException unsettled(Request request, Claim claim, String reason) {
        Refusal refusal = unavailable(reason);
        desk.settle(claim, refused(keyUsedUp(refusal)), tracing.inject(request.trace()));
        return keyNotRead(request, refusal);
    }

    /** Returns the key that the caller chose; only its repeats can bear it again. */
    private static Optional<String> namedKey(Request request) {
        return request.message().header("idempotency-key");
    }

    private static String key(Request request) throws RefusalException {
        Optional<String> given = namedKey(request);
        if (given.isEmpty()) {
            return UUID.randomUUID().toString();
        }
        String key = given.get();
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

    private static Claim claim(Request request) {
        String key = request.caller() + '/' + request.idempotencyKey().orElseThrow();
        return Claim.of(key, request.id(), fingerprint(request.message()), System.currentTimeMillis());
    }

    private static String fingerprint(CallerMessage message) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String line = message.method() + ' ' + message.path() + '?' + message.query() + '\n';
            digest.update(line.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(message.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private void run(Request request, Claim claim, Chain next) throws RouterException, InterruptedException {
        try {
            if (request.leftMs() == 0) {
                throw Refusal.notRun(RefusalCode.DEADLINE, "the deadline passed while the key was claimed")
                        .exception();
            }
            next.proceed(request);
        } catch (RefusalException e) {
            if (e.refusal().ran() != Ran.NO) {
                throw e;
            }
            Refusal refusal = keyUsedUp(e.refusal());
            desk.settle(claim, refused(refusal), tracing.inject(request.trace()));
            throw refusal.exception();
        } finally {
            settle(request, claim);
        }
    }

    private void settle(Request request, Claim claim) {
        RelayedAnswer answer = request.relayed();
        if (answer.complete()) {
            Optional<byte[]> body = answer.bodyOmitted() ? Optional.empty() : Optional.of(answer.body());
            ClaimOutcome outcome = new ClaimOutcome(answer.status(), answer.contentType(), body);
            desk.settle(claim, outcome, tracing.inject(request.trace()));
        }
    }

    private static Refusal keyUsedUp(Refusal refusal) {
        String detail = refusal.detail() + "; the key is used up, ask again with another one";
        return new Refusal(refusal.code(), detail, refusal.ran(), refusal.retryAfterMs());
    }

    private static ClaimOutcome refused(Refusal refusal) {
        return ClaimOutcome.of(refusal.code().status(), ProblemDocument.MEDIA_TYPE, ProblemDocument.encode(refusal));
    }

    private static void repeat(Request request, ClaimOutcome outcome) throws RouterException {
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
