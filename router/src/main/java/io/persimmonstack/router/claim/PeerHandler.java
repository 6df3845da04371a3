package io.persimmonstack.router.claim;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.RouterPeer;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** Serves the calls of other routers: claims for the shards whose preferred writer is this router, and reports. */
public final class PeerHandler implements RouterPeer.Iface {
    /** Time beyond the claimant's wait before an unanswered claim is reported as unsettled. */
    private static final long ANSWER_MARGIN_MS = 1_000;

    private final LocalClaims localClaims;
    private final Consumer<List<CrashReportRecord>> crashReports;
    private final Tracing tracing;

    private PeerHandler(LocalClaims localClaims, Consumer<List<CrashReportRecord>> crashReports, Tracing tracing) {
        this.localClaims = localClaims;
        this.crashReports = crashReports;
        this.tracing = tracing;
    }

    /**
     * Returns a handler.
     *
     * @param localClaims records claims
     * @param crashReports takes reports about runners that ended
     * @param tracing creates a span for each claim
     */
    public static PeerHandler of(
            LocalClaims localClaims, Consumer<List<CrashReportRecord>> crashReports, Tracing tracing) {
        return new PeerHandler(localClaims, crashReports, tracing);
    }

    @Override
    public void keepCrashReports(List<CrashReportRecord> reports) {
        crashReports.accept(reports);
    }

    @Override
    public ClaimAnswer claim(ClaimRecord wireClaim, int waitMs, Map<String, String> trace) throws WireRefusal {
        Span span = tracing.start("claim-shard", SpanKind.SERVER, tracing.extract(trace));
        try {
            ClaimResult result = localClaims
                    .claim(ClaimWireCodec.claimFromWire(wireClaim), waitMs)
                    .get(waitMs + ANSWER_MARGIN_MS, TimeUnit.MILLISECONDS);
            return ClaimWireCodec.toWire(result);
        } catch (TimeoutException e) {
            return ClaimWireCodec.toWire(new ClaimResult.Unsettled("the shard gave no answer in time"));
        } catch (ExecutionException e) {
            throw new WireRefusal("claim-failed", e.getCause().toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new WireRefusal("stopping", "the router is stopping");
        } finally {
            span.end();
        }
    }

    @Override
    public void settle(ClaimRecord wireOutcome, Map<String, String> trace) {
        localClaims.settle(ClaimWireCodec.claimFromWire(wireOutcome), ClaimWireCodec.outcomeFromWire(wireOutcome));
    }
}
