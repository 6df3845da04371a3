package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.policy.ModelCost;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Simulates one policy on one trace and measures loads, waits and idle accelerator time, without network or hosts. */
final class PolicyReplay {
    /** Largest value of the histogram; a longer wait is recorded as this one. */
    private static final long MAX_RECORDED_WAIT_MS = 3_600_000;

    private static final long MAX_TICK_MS = 60_000;
    private static final long MIN_TICK_MS = 1_000;
    private static final long MAX_TICKS = 10_000;
    private static final double HOUR_MS = 3_600_000.0;

    /** State of one model; points in time are in milliseconds from the start of the trace. */
    private static final class ModelState {
        private boolean loaded;
        private long loadStartMs;
        private long readyAtMs;
        /** End of the load or of the last request served, whichever is later. */
        private long busyUntilMs;
        /** Time since the load in which at least one request was served. */
        private long busyDurationMs;

        private long unloadAtMs;
        private long lastUsedAtMs;
    }

    private final Trace trace;
    private final ReplayPolicy policy;
    private final NextArrivals nextArrivals;
    private final List<ModelState> modelStates = new ArrayList<>();
    private final Histogram coldStartMs = new Histogram(MAX_RECORDED_WAIT_MS, 3);
    private double idleAcceleratorMs;
    private long loadCount;
    private long refusedCount;
    private double acceleratorsInUse;

    private PolicyReplay(Trace trace, ReplayPolicy policy) {
        this.trace = trace;
        this.policy = policy;
        this.nextArrivals = NextArrivals.of(trace);
        trace.models().forEach(model -> modelStates.add(new ModelState()));
    }

    static ReplayResult run(Trace trace, ReplayPolicy policy) {
        PolicyReplay replay = new PolicyReplay(trace, policy);
        return replay.run();
    }

    /** Replays all arrivals; between them, unloads expired models and loads ahead at regular ticks. */
    private ReplayResult run() {
        long tickIntervalMs = Math.clamp(trace.endMs() / MAX_TICKS, MIN_TICK_MS, MAX_TICK_MS);
        long tickMs = 0;
        for (int i = 0; i < trace.arrivals().size(); i++) {
            Arrival arrival = trace.arrivals().get(i);
            while (tickMs <= arrival.atMs()) {
                unloadExpired(tickMs);
                loadAhead(tickMs);
                tickMs += tickIntervalMs;
            }
            unloadExpired(arrival.atMs());
            serve(arrival, i);
        }
        for (int index = 0; index < modelStates.size(); index++) {
            ModelState state = modelStates.get(index);
            if (state.loaded) {
                long endMs = Math.max(state.busyUntilMs, trace.endMs());
                unload(index, Math.min(endMs, Math.max(state.unloadAtMs, state.busyUntilMs)));
            }
        }
        return createResult();
    }

    /** Serves one request, after loading its model if necessary, and schedules the unload. */
    private void serve(Arrival arrival, int arrivalIndex) {
        ModelState state = modelStates.get(arrival.modelIndex());
        ReplayModel model = trace.models().get(arrival.modelIndex());
        if (policy instanceof ReplayPolicy.KeepAlive keepAlive) {
            keepAlive.policy().observe(model.name(), model.cost(), arrival.atMs());
        }
        if (!state.loaded && !load(arrival.modelIndex(), arrival.atMs(), loadWaitMs(model, arrivalIndex))) {
            refusedCount++;
            return;
        }
        long startMs = Math.max(arrival.atMs(), state.readyAtMs);
        coldStartMs.recordValue(Math.min(MAX_RECORDED_WAIT_MS, startMs - arrival.atMs()));
        long endMs = startMs + arrival.durationMs();
        state.busyDurationMs += Math.max(0, endMs - Math.max(startMs, state.busyUntilMs));
        state.busyUntilMs = Math.max(state.busyUntilMs, endMs);
        state.lastUsedAtMs = arrival.atMs();
        state.unloadAtMs = scheduledUnloadMs(arrival.modelIndex(), arrivalIndex);
    }

    /**
     * Returns how long the request waits for a load. The clairvoyant policy that loads ahead started the load in
     * time, so that the request waits 0 ms and the load counts as idle accelerator time.
     */
    private long loadWaitMs(ReplayModel model, int arrivalIndex) {
        boolean loadedAhead = policy instanceof ReplayPolicy.Clairvoyant clairvoyant && clairvoyant.loadsAhead();
        if (loadedAhead) {
            idleAcceleratorMs += model.cost().accelerators() * model.cost().loadMs();
            return 0;
        }
        return model.cost().loadMs();
    }

    /** Returns the time at which the policy unloads the model if no other request arrives. */
    private long scheduledUnloadMs(int index, int arrivalIndex) {
        ReplayModel model = trace.models().get(index);
        ModelState state = modelStates.get(index);
        return switch (policy) {
            case ReplayPolicy.KeepAlive keepAlive ->
                state.busyUntilMs + keepAlive.policy().keepAliveMs(model.name(), model.cost(), state.busyUntilMs);
            case ReplayPolicy.LeastRecentlyUsed ignored -> KeepAlivePolicy.NEVER_MS;
            case ReplayPolicy.Clairvoyant clairvoyant -> clairvoyantUnloadMs(clairvoyant, model, state, arrivalIndex);
        };
    }

    /** Keeps the model until its next arrival if the idle time until then costs no more than loading it again. */
    private long clairvoyantUnloadMs(
            ReplayPolicy.Clairvoyant clairvoyant, ReplayModel model, ModelState state, int arrivalIndex) {
        long nextMs = nextArrivals.nextArrivalMs(arrivalIndex);
        double idleCost = model.cost().accelerators() * Math.max(0, nextMs - state.busyUntilMs) / 1_000.0;
        double reloadCost = clairvoyant.loadsAhead()
                ? model.cost().accelerators() * model.cost().loadMs() / 1_000.0
                : model.cost().coldStartCost()
                                * nextArrivals.nextBurstSize(
                                        arrivalIndex, model.cost().loadMs())
                        + model.cost().accelerators() * model.cost().loadMs() / 1_000.0;
        return idleCost <= reloadCost ? Math.max(nextMs, state.busyUntilMs) : state.busyUntilMs;
    }

    /** Loads models that the policy wants loaded ahead of demand and extends the unload time of those it holds. */
    private void loadAhead(long nowMs) {
        if (!(policy instanceof ReplayPolicy.KeepAlive keepAlive)) {
            return;
        }
        for (int index = 0; index < modelStates.size(); index++) {
            ReplayModel model = trace.models().get(index);
            ModelState state = modelStates.get(index);
            long untilMs = state.loaded
                    ? keepAlive.policy().holdUntilMs(model.name(), model.cost(), nowMs)
                    : keepAlive.policy().preloadUntilMs(model.name(), model.cost(), nowMs);
            if (untilMs > nowMs && (state.loaded || loadIfAcceleratorsFree(index, nowMs))) {
                state.unloadAtMs = Math.max(state.unloadAtMs, untilMs);
            }
        }
    }

    private boolean loadIfAcceleratorsFree(int index, long nowMs) {
        ModelCost cost = trace.models().get(index).cost();
        boolean fits = acceleratorsInUse + cost.accelerators() <= trace.fleet().accelerators();
        return fits && load(index, nowMs, cost.loadMs());
    }

    /** Starts loading a model, evicting idle ones if necessary; returns false if too few accelerators can be freed. */
    private boolean load(int index, long nowMs, long loadMs) {
        ReplayModel model = trace.models().get(index);
        while (acceleratorsInUse + model.cost().accelerators() > trace.fleet().accelerators()) {
            if (!evictOne(nowMs)) {
                return false;
            }
        }
        ModelState state = modelStates.get(index);
        acceleratorsInUse += model.cost().accelerators();
        loadCount++;
        state.loaded = true;
        state.loadStartMs = nowMs;
        state.readyAtMs = nowMs + loadMs;
        state.busyUntilMs = state.readyAtMs;
        state.busyDurationMs = 0;
        state.unloadAtMs = state.readyAtMs;
        state.lastUsedAtMs = nowMs;
        return true;
    }

    /**
     * Unloads the idle model of lowest retention value, least recently used first among equals; returns false if no
     * model is idle.
     */
    private boolean evictOne(long nowMs) {
        int victim = -1;
        for (int index = 0; index < modelStates.size(); index++) {
            ModelState state = modelStates.get(index);
            boolean evictable = state.loaded && state.busyUntilMs <= nowMs;
            if (evictable && (victim < 0 || isEvictedBefore(index, victim, nowMs))) {
                victim = index;
            }
        }
        if (victim >= 0) {
            unload(victim, nowMs);
        }
        return victim >= 0;
    }

    private boolean isEvictedBefore(int index, int other, long nowMs) {
        int valueOrder = Double.compare(retentionValue(index, nowMs), retentionValue(other, nowMs));
        return valueOrder < 0
                || valueOrder == 0 && modelStates.get(index).lastUsedAtMs < modelStates.get(other).lastUsedAtMs;
    }

    /** Returns the benefit of keeping the model loaded; policies without such a value give 0, so that LRU decides. */
    private double retentionValue(int index, long nowMs) {
        ReplayModel model = trace.models().get(index);
        return policy instanceof ReplayPolicy.KeepAlive keepAlive
                ? keepAlive.policy().retentionValue(model.name(), model.cost(), nowMs)
                : 0;
    }

    /** Unloads the idle models whose unload time has passed. */
    private void unloadExpired(long nowMs) {
        for (int index = 0; index < modelStates.size(); index++) {
            ModelState state = modelStates.get(index);
            if (state.loaded && state.unloadAtMs < nowMs && state.busyUntilMs <= nowMs) {
                unload(index, Math.max(state.unloadAtMs, state.busyUntilMs));
            }
        }
    }

    /** Unloads a model and adds the time since its load in which it served nothing to the idle time. */
    private void unload(int index, long atMs) {
        ModelState state = modelStates.get(index);
        double accelerators = trace.models().get(index).cost().accelerators();
        idleAcceleratorMs += accelerators * (atMs - state.loadStartMs - state.busyDurationMs);
        acceleratorsInUse -= accelerators;
        state.loaded = false;
    }

    private ReplayResult createResult() {
        double coldSeconds = coldStartMs.getMean() * coldStartMs.getTotalCount() / 1_000.0;
        double weightedHours =
                idleAcceleratorMs / HOUR_MS + coldSeconds * trace.fleet().coldStartWeight() / 3_600;
        return new ReplayResult(
                policy.name(),
                trace.fleet().name(),
                coldStartMs,
                idleAcceleratorMs / HOUR_MS,
                loadCount,
                refusedCount,
                weightedHours);
    }
}
