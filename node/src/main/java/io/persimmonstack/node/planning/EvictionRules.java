package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides for one plan which models may be evicted for which others, and what an eviction costs. */
final class EvictionRules {
    /** Request rate above which a model may use the higher load limit and evict models in use at once. */
    static final double BUSY_RATE_PER_SECOND = 2;
    /** Cost of unloading a model in use: its requests must end first. */
    static final double IN_USE_COST_MS = 1_500;
    /** Cost of unloading a model whose other replicas can take over its requests. */
    private static final double SPARE_REPLICA_COST_MS = 20;
    /** Shortest wait after which models in use may be evicted for a request; a target that leaves less is missed. */
    private static final long MIN_EVICT_IN_USE_AFTER_MS = 300;
    /** Longest wait of a request after which models in use may be evicted for it. */
    private static final long MAX_EVICT_IN_USE_AFTER_MS = 1_500;
    /** Expected time until the requests of a model in use have ended. */
    private static final long DRAIN_MS = 1_000;
    /** Request rate from which a model without waiting requests may evict others for another replica. */
    private static final double MIN_REPLICA_RATE_PER_SECOND = 1;
    /** Share of the slots of its holders from which the requests of a model count as the cause of their utilisation. */
    private static final double OWN_REQUESTS_SHARE = 0.3;
    /** Factor of the cost of unloading the last replica of a model. */
    private static final double LAST_REPLICA_FACTOR = 4;
    /** Request rate below which a model may be evicted for a preload. */
    private static final double IDLE_RATE_PER_SECOND = 0.05;
    /** Request rate assumed for a model without demand, so that unloading it always has a cost. */
    private static final double MIN_RATE_PER_SECOND = 0.01;
    /** Request rate added for a model that requests wait for. */
    private static final double WAITING_RATE_PER_SECOND = 1;

    private static final double MS_PER_SECOND = 1_000;

    private final Engine engine;
    private final Map<String, FleetDemand> demands;
    private final ServiceIndex index;
    private final Set<String> assignedRunners;

    /**
     * Creates the rules for one plan.
     *
     * @param engine models that may be held
     * @param demands demand by the name of the model
     * @param index lookups in the state that is planned on
     * @param assignedRunners identifiers of the runners that get a directive by this plan; may grow
     */
    EvictionRules(Engine engine, Map<String, FleetDemand> demands, ServiceIndex index, Set<String> assignedRunners) {
        this.engine = engine;
        this.demands = demands;
        this.index = index;
        this.assignedRunners = assignedRunners;
    }

    /** Returns the request rate of a model per second, raised if requests wait for it, and never 0. */
    double demandRate(String model) {
        FleetDemand demand = demands.get(model);
        if (demand == null) {
            return MIN_RATE_PER_SECOND;
        }
        double waiting = demand.waiting() > 0 ? WAITING_RATE_PER_SECOND : 0;
        return Math.max(MIN_RATE_PER_SECOND, demand.perSecond() + waiting);
    }

    /**
     * Returns the cost of unloading a model: the expected waiting time of later requests, in milliseconds per second.
     */
    double evictionCost(RunnerState runner, String victim) {
        double inUseCost = runner.requestsOf(victim) > 0 ? IN_USE_COST_MS : 0;
        if (isSpareReplica(runner, victim)) {
            return SPARE_REPLICA_COST_MS + inUseCost;
        }
        Model model = engine.models().get(victim);
        double restartMs = runner.hasLocalCopy(victim) ? model.diskLoadMs() : model.storeLoadMs();
        List<RunnerState> holders = index.holders(victim);
        boolean lastReplica = holders.size() <= 1
                || inUseCost > 0 && holders.stream().noneMatch(other -> isOtherOfSameVersion(other, runner));
        double lastReplicaFactor = lastReplica ? LAST_REPLICA_FACTOR : 1;
        return demandRate(victim) * restartMs * lastReplicaFactor + inUseCost;
    }

    /**
     * Returns whether the other replicas of a model have enough free slots to take over its requests on a runner. One
     * at a runner that carries out orders does not count: it may be the model that is unloaded there.
     */
    private boolean isSpareReplica(RunnerState runner, String model) {
        boolean inUse = runner.requestsOf(model) > 0;
        double freeSlotCount = index.holders(model).stream()
                .filter(other -> inUse
                        ? isOtherOfSameVersion(other, runner)
                        : !other.id().equals(runner.id()))
                .filter(other -> other.idle() && !assignedRunners.contains(other.id()))
                .mapToDouble(other -> RunnerState.CROWDED_UTILISATION * other.slots() - other.requests())
                .filter(freeSlots -> freeSlots > 0)
                .sum();
        return freeSlotCount > runner.requestsOf(model);
    }

    /** Returns whether streams in progress at a runner can go on at another one. */
    private static boolean isOtherOfSameVersion(RunnerState other, RunnerState runner) {
        return !other.id().equals(runner.id()) && other.softwareVersion().equals(runner.softwareVersion());
    }

    /**
     * Returns whether a model may be evicted for the needed one. If no runner holds the needed model, models with
     * waiting requests stay, and a model in use is evicted only if its other replicas can take over its requests or it
     * is in less demand, and if the need is urgent. For another replica, only idle models are evicted, and only if they
     * are spare replicas or are requested less than half as often as the new replica would be; a rarely requested model
     * without waiting requests gets another replica only in free memory, since it would evict one like itself.
     */
    boolean mayEvict(RunnerState runner, String victim, ReplicaNeed need) {
        boolean inUse = runner.requestsOf(victim) > 0;
        FleetDemand demand = need.demand();
        if (need.cold()) {
            boolean hasWaitingRequests =
                    demands.containsKey(victim) && demands.get(victim).waiting() > 0;
            return !hasWaitingRequests
                    && (!inUse
                            || need.pressing()
                                    && (demandRate(victim) < need.urgency() || isSpareReplica(runner, victim)));
        }
        if (!need.pressing()) {
            return false;
        }
        int replicas = index.holders(demand).size();
        double ratePerReplica = demand.perSecond() / (1 + replicas);
        return !inUse && (isSpareReplica(runner, victim) || demandRate(victim) < ratePerReplica / 2);
    }

    /**
     * Returns whether others may be evicted for a further replica of a model whose holders are crowded: requests wait
     * for it, it has a notable request rate, or its own requests crowd its holders.
     */
    boolean needsReplica(FleetDemand demand) {
        String model = demand.model().model();
        return demand.waiting() > 0
                || demand.perSecond() >= MIN_REPLICA_RATE_PER_SECOND
                || index.holders(demand).stream()
                        .allMatch(holder -> holder.requestsOf(model) > OWN_REQUESTS_SHARE * holder.slots());
    }

    /**
     * Returns whether models in use may be evicted for a model: it has a high request rate, or its requests would miss
     * their latency target if they waited longer for a victim without requests. If the target is missed even so, they
     * wait until it has passed, since haste gains little and delays the requests of the victim.
     */
    boolean isUrgent(FleetDemand demand) {
        long diskLoadMs = engine.models().get(demand.model().model()).diskLoadMs();
        long slackMs = demand.targetLatencyMs() - diskLoadMs - DRAIN_MS;
        long waitMs = slackMs < MIN_EVICT_IN_USE_AFTER_MS ? demand.targetLatencyMs() : slackMs;
        long evictAfterMs = Math.clamp(waitMs, MIN_EVICT_IN_USE_AFTER_MS, MAX_EVICT_IN_USE_AFTER_MS);
        return demand.oldestWaitMs() > evictAfterMs || demand.perSecond() > BUSY_RATE_PER_SECOND;
    }

    /**
     * Returns whether a model may be evicted for a preload: it is idle, has no other replica and loads quickly again
     * from a local copy.
     */
    boolean mayEvictForPreload(RunnerState runner, String victim) {
        boolean idle = runner.requestsOf(victim) == 0 && demandRate(victim) < IDLE_RATE_PER_SECOND;
        boolean hasOtherReplicas = index.holders(victim).size() > 1;
        return idle && !hasOtherReplicas && runner.hasLocalCopy(victim);
    }
}
