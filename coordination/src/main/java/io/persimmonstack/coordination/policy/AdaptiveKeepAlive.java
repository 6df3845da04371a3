package io.persimmonstack.coordination.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keep-alive policy that learns from the requests of each model: the gaps between requests of a session, the rate at
 * which sessions begin, and the number of requests that wait for a cold start.
 *
 * <p>Within a session the keep-alive T minimizes {@code accelerators * E[min(G, T)] + missCost * P(G > T)}, where G is
 * the gap between two requests. The gaps of the whole fleet serve as a prior for models with few gaps of their own.
 * Beyond that time a model stays loaded, or is loaded ahead, while the rate of sessions times the cost of a cold start
 * exceeds the accelerators that the model occupies.
 */
final class AdaptiveKeepAlive implements KeepAlivePolicy {
    /** Total weight of the fleet's gaps in the histogram of a model, in gaps. */
    private static final double FLEET_GAP_WEIGHT = 100;

    private static final double MS_PER_SECOND = 1_000.0;
    /** Demand required to load a model ahead, relative to keeping it; above 1 to avoid repeated loads and unloads. */
    private static final double LOAD_AHEAD_MARGIN = 1.25;

    private final Map<String, DemandHistory> histories = new HashMap<>();
    private FleetDemand fleet = FleetDemand.empty();

    private AdaptiveKeepAlive() {}

    static AdaptiveKeepAlive create() {
        return new AdaptiveKeepAlive();
    }

    @Override
    public void observe(String model, ModelCost cost, long nowMs) {
        histories
                .computeIfAbsent(model, ignored -> DemandHistory.startingAt(nowMs))
                .observe(fleet, cost.loadMs(), nowMs);
    }

    @Override
    public Optional<DemandStatistics> statistics(String model) {
        if (model.equals(ALL_MODELS)) {
            return Optional.of(fleet.statistics());
        }
        return Optional.ofNullable(histories.get(model)).map(DemandHistory::statistics);
    }

    @Override
    public long observations(String model) {
        if (model.equals(ALL_MODELS)) {
            return fleet.observations();
        }
        DemandHistory history = histories.get(model);
        return history == null ? 0 : history.observations();
    }

    @Override
    public boolean adopt(String model, DemandStatistics statistics) throws StatisticsException {
        if (statistics.observations() <= observations(model)) {
            return false;
        }
        if (model.equals(ALL_MODELS)) {
            fleet = FleetDemand.of(statistics);
        } else {
            histories.put(model, DemandHistory.of(statistics));
        }
        return true;
    }

    @Override
    public long keepAliveMs(String model, ModelCost cost, long idleSinceMs) {
        DemandHistory history = histories.get(model);
        if (history == null) {
            return 0;
        }
        long keepMs = cheapestKeepAliveMs(history.gaps(), cost);
        return Math.max(keepMs, demandExpectedUntilMs(history, cost, idleSinceMs + keepMs, 1) - idleSinceMs);
    }

    @Override
    public long holdUntilMs(String model, ModelCost cost, long nowMs) {
        DemandHistory history = histories.get(model);
        return history == null ? nowMs : demandExpectedUntilMs(history, cost, nowMs, 1);
    }

    @Override
    public long preloadUntilMs(String model, ModelCost cost, long nowMs) {
        DemandHistory history = histories.get(model);
        return history == null ? nowMs : demandExpectedUntilMs(history, cost, nowMs, LOAD_AHEAD_MARGIN);
    }

    /**
     * Returns the end of the current time slot if the expected saving exceeds {@code margin} times the cost of keeping
     * the model loaded, otherwise {@code nowMs}.
     */
    private long demandExpectedUntilMs(DemandHistory history, ModelCost cost, long nowMs, double margin) {
        double savingPerSecond =
                history.sessionsPerMs(fleet, nowMs) * MS_PER_SECOND * missCostAtSessionStart(history, cost);
        return savingPerSecond > margin * cost.accelerators() ? DailySessionPattern.slotEndMs(nowMs) : nowMs;
    }

    @Override
    public double retentionValue(String model, ModelCost cost, long nowMs) {
        DemandHistory history = histories.get(model);
        if (history == null) {
            return 0;
        }
        double value = history.sessionsPerMs(fleet, nowMs) * missCostAtSessionStart(history, cost);
        double sessionValue = history.isInSession(nowMs) ? cost.coldStartCost() / DemandHistory.SESSION_TIMEOUT_MS : 0;
        return (value + sessionValue) * MS_PER_SECOND / cost.accelerators();
    }

    /** Returns the cost of a cold start at the start of a session: waiting requests, and accelerators while loading. */
    private double missCostAtSessionStart(DemandHistory history, ModelCost cost) {
        return cost.coldStartCost() * history.expectedWaits(fleet) + cost.loadCost();
    }

    /** Returns the keep-alive within a session, in milliseconds, with the lowest cost of idle time and cold starts. */
    private long cheapestKeepAliveMs(GapHistogram own, ModelCost cost) {
        GapHistogram fleetGaps = fleet.gaps();
        double fleetScale = fleetGaps.totalWeight() == 0 ? 0 : FLEET_GAP_WEIGHT / fleetGaps.totalWeight();
        double totalWeight = own.totalWeight() + fleetScale * fleetGaps.totalWeight();
        double gapWeight = own.gapWeight() + fleetScale * fleetGaps.gapWeight();
        double missCost = cost.coldStartCost() * waitsInSession(own, cost, fleetScale) + cost.loadCost();
        double acceleratorSecondsPerMs = cost.accelerators() / MS_PER_SECOND;
        double lowestCost = gapWeight * missCost;
        long cheapestMs = 0;
        double coveredWeight = 0;
        double coveredSumMs = 0;
        for (int bin = 0; bin < GapHistogram.BINS; bin++) {
            coveredWeight += own.binWeight(bin) + fleetScale * fleetGaps.binWeight(bin);
            coveredSumMs += own.binSumMs(bin) + fleetScale * fleetGaps.binSumMs(bin);
            long keepMs = GapHistogram.upperBoundMs(bin);
            double idleCost = acceleratorSecondsPerMs * (coveredSumMs + (totalWeight - coveredWeight) * keepMs);
            double totalCost = idleCost + Math.max(0, gapWeight - coveredWeight) * missCost;
            if (totalCost < lowestCost) {
                lowestCost = totalCost;
                cheapestMs = keepMs;
            }
        }
        return cheapestMs;
    }

    /**
     * Returns the expected number of requests that wait for a cold start within a session: the first one for the whole
     * load, and those that arrive during the load for half of it on average.
     */
    private double waitsInSession(GapHistogram own, ModelCost cost, double fleetScale) {
        GapHistogram fleetGaps = fleet.gaps();
        double gapWeight = own.gapWeight() + fleetScale * fleetGaps.gapWeight();
        double meanGapMs = gapWeight == 0
                ? DemandHistory.SESSION_TIMEOUT_MS
                : (own.gapSumMs() + fleetScale * fleetGaps.gapSumMs()) / gapWeight;
        return 1 + cost.loadMs() / (2 * Math.max(1, meanGapMs));
    }
}
