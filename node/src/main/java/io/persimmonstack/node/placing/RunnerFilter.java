package io.persimmonstack.node.placing;

import io.persimmonstack.node.fleet.Runner;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Which runners of its service may take a request, as far as the request itself decides it.
 *
 * @param excludedRunners identifiers of runners that may not, such as those that may have run it
 * @param softwareVersion the only software version that may, for the rest of a stream; empty for any
 */
public record RunnerFilter(Set<String> excludedRunners, Optional<String> softwareVersion) {
    /** Copies the set. */
    public RunnerFilter {
        excludedRunners = Set.copyOf(excludedRunners);
    }

    /** Returns a filter that allows all runners. */
    public static RunnerFilter any() {
        return new RunnerFilter(Set.of(), Optional.empty());
    }

    /** Returns a filter that does not allow the given runner either. */
    public RunnerFilter without(Runner runner) {
        Set<String> excluded = new HashSet<>(excludedRunners);
        excluded.add(runner.id());
        return new RunnerFilter(excluded, softwareVersion);
    }

    /** Returns whether a runner may take the request. */
    public boolean allows(Runner runner) {
        return !excludedRunners.contains(runner.id()) && allowsVersionOf(runner);
    }

    /** Returns whether a runner's software version may take the request, even if this runner may not. */
    boolean allowsVersionOf(Runner runner) {
        return softwareVersion.map(runner.softwareVersion()::equals).orElse(true);
    }
}
