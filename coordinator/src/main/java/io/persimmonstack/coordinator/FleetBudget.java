package io.persimmonstack.coordinator;

import io.persimmonstack.backends.kv.CallRates;

/** Keeps the calls of all coordinators together within what the key-value service is to get from them. */
public final class FleetBudget {
    private final CoordinatorSettings.KvSettings settings;
    private final CallRates rates;
    private int divided = -1;

    private FleetBudget(CoordinatorSettings.KvSettings settings, CallRates rates) {
        this.settings = settings;
        this.rates = rates;
    }

    static FleetBudget of(CoordinatorSettings.KvSettings settings, CallRates rates) {
        return new FleetBudget(settings, rates);
    }

    /**
     * Takes this node's share, at least one call a second and at most its own limit.
     *
     * @param nodes nodes that make calls
     */
    synchronized void divide(int nodes) {
        if (nodes == divided) {
            return;
        }
        divided = nodes;
        rates.setCallsPerSecond(
                share(settings.readsPerSecond(), settings.fleetReadsPerSecond(), nodes),
                share(settings.writesPerSecond(), settings.fleetWritesPerSecond(), nodes));
    }

    private static int share(int own, int fleet, int nodes) {
        return Math.max(1, Math.min(own, fleet / Math.max(1, nodes)));
    }
}
