package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Workspace;
import io.persimmonstack.node.request.ActiveRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns the rate, in tokens per second, at which each workspace usually sends requests for a service to this node, and
 * tells which requests go beyond it. The rate is an average over {@link #AVERAGE_S}. A token bucket that fills faster
 * than this average, by its statistical error, covers the usual variation. Not thread-safe; guarded by the lock of
 * {@link Placer}.
 */
final class UsualRates {
    /** Time over which the rate is averaged; long against a surge of a minute. */
    private static final double AVERAGE_S = 300;
    /** Standard deviations of the number of requests in the average by which its rate may be exceeded. */
    private static final double DEVIATIONS = 2;
    /** Requests are usual until the average covers this time and {@link #LEARNING_REQUESTS}. */
    private static final double LEARNING_S = 30;

    private static final int LEARNING_REQUESTS = 20;
    /** Burst that is usual: the tokens of this time and, for workspaces that send rarely, of this many requests. */
    private static final double BURST_S = 1;

    private static final double BURST_REQUESTS = 6;
    /** Part of the tokens beyond the usual rate that counts in the average, so that lasting growth becomes usual. */
    private static final double SURPLUS_WEIGHT = 1.0 / 32;

    private final Map<Sender, Average> averages = new HashMap<>();

    private record Sender(String service, String workspace) {}

    /** Tokens and requests of a workspace, decayed by age, and the bucket of its usual requests. */
    private static final class Average {
        private final long firstNanos;
        private long lastNanos;
        private double tokens;
        private double requests;
        private int seen;
        private double bucketTokens = Double.POSITIVE_INFINITY;

        private Average(long nowNanos) {
            firstNanos = nowNanos;
            lastNanos = nowNanos;
        }

        private boolean isOutdated(long nowNanos) {
            return seconds(nowNanos - lastNanos) > AVERAGE_S;
        }

        private boolean add(double requestTokens, long nowNanos) {
            double sinceLastS = Math.max(0, seconds(nowNanos - lastNanos));
            lastNanos = Math.max(lastNanos, nowNanos);
            double decay = Math.exp(-sinceLastS / AVERAGE_S);
            tokens *= decay;
            requests *= decay;
            boolean usual = takeFromBucket(requestTokens, sinceLastS);
            double weight = usual ? 1 : SURPLUS_WEIGHT;
            tokens += weight * requestTokens;
            requests += weight;
            seen++;
            return usual;
        }

        private boolean takeFromBucket(double requestTokens, double sinceLastS) {
            double ageS = seconds(lastNanos - firstNanos);
            if (ageS < LEARNING_S || seen < LEARNING_REQUESTS) {
                return true;
            }
            double tokensPerS = tokens / (AVERAGE_S * (1 - Math.exp(-ageS / AVERAGE_S)));
            double burst = BURST_S * tokensPerS + BURST_REQUESTS * tokens / requests;
            double margin = 1 + DEVIATIONS / Math.sqrt(requests);
            bucketTokens = Math.min(burst, bucketTokens + margin * tokensPerS * sinceLastS);
            boolean usual = bucketTokens > 0;
            bucketTokens -= usual ? requestTokens : 0;
            return usual;
        }

        private static double seconds(long nanos) {
            return (double) nanos / TimeUnit.SECONDS.toNanos(1);
        }
    }

    /**
     * Counts a request that has arrived and returns whether it is within the usual rate of its workspace. Requests
     * without a workspace always are, and so are those of a workspace that has not been known for long enough.
     */
    boolean countArrival(ActiveRequest request) {
        Optional<Workspace> workspace = request.workspace();
        if (workspace.isEmpty()) {
            return true;
        }
        long nowNanos = request.receivedNanos();
        Sender sender = new Sender(request.service().name(), workspace.get().name());
        Average average = averages.get(sender);
        if (average == null || average.isOutdated(nowNanos)) {
            averages.values().removeIf(other -> other.isOutdated(nowNanos));
            average = new Average(nowNanos);
            averages.put(sender, average);
        }
        return average.add(FairShares.tokens(request), nowNanos);
    }
}
