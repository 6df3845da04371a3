package io.persimmonstack.node.planning;

import io.persimmonstack.node.placing.RunnerUsage;
import io.persimmonstack.node.request.ModelRef;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests in progress at each runner, summed over reports that come and go. Adding or removing a report costs as much
 * as the report is long, whatever the number of nodes. Not thread-safe.
 */
final class RunnerLoads {
    private final Map<String, Sum> sums = new HashMap<>();

    /**
     * Load of one runner.
     *
     * @param requests number of requests in progress
     * @param tokens estimated number of their tokens
     */
    record Load(int requests, long tokens) {
        static final Load NONE = new Load(0, 0);

        Load minus(Load other) {
            return new Load(requests - other.requests, tokens - other.tokens);
        }
    }

    private static final class Sum {
        private Load total = Load.NONE;
        private final Map<ModelRef, Integer> requestsByModel = new HashMap<>();

        private void add(RunnerUsage usage, int sign) {
            total = new Load(total.requests() + sign * usage.requests(), total.tokens() + sign * usage.tokens());
            if (usage.requests() == 0) {
                // Memory that a node claims for a request that it has not sent yet.
                return;
            }
            requestsByModel.merge(usage.model(), sign * usage.requests(), Sum::sumOrAbsent);
        }

        private static Integer sumOrAbsent(int one, int other) {
            return one + other == 0 ? null : (Integer) (one + other);
        }

        private boolean isEmpty() {
            return total.equals(Load.NONE) && requestsByModel.isEmpty();
        }
    }

    private RunnerLoads() {}

    /** Returns sums of no reports. */
    static RunnerLoads empty() {
        return new RunnerLoads();
    }

    /** Returns the sums of one report. */
    static RunnerLoads of(Collection<RunnerUsage> usages) {
        RunnerLoads loads = empty();
        loads.add(usages);
        return loads;
    }

    void add(Collection<RunnerUsage> usages) {
        usages.forEach(usage -> apply(usage, 1));
    }

    /** Removes a report that was added before. */
    void remove(Collection<RunnerUsage> usages) {
        usages.forEach(usage -> apply(usage, -1));
    }

    private void apply(RunnerUsage usage, int sign) {
        Sum sum = sums.computeIfAbsent(usage.runner(), ignored -> new Sum());
        sum.add(usage, sign);
        if (sum.isEmpty()) {
            sums.remove(usage.runner());
        }
    }

    /** Returns the load of a runner. */
    Load load(String runner) {
        Sum sum = sums.get(runner);
        return sum == null ? Load.NONE : sum.total;
    }

    /** Returns the load of all runners that have any, without that of other sums. */
    Map<String, Load> minus(RunnerLoads other) {
        Map<String, Load> loads = new HashMap<>();
        sums.forEach((runner, sum) -> loads.put(runner, sum.total.minus(other.load(runner))));
        return loads;
    }

    /** Returns the requests in progress at a runner by model or adapter. */
    Map<ModelRef, Integer> requestsByModel(String runner) {
        Sum sum = sums.get(runner);
        return sum == null ? Map.of() : Map.copyOf(sum.requestsByModel);
    }
}
