package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Main class of the benchmark {@code policy-replay}: replays generated traces through all policies and prints tables.
 */
public final class ReplayMain {
    private static final long MINUTE_MS = 60_000;
    private static final long[] FIXED_KEEP_ALIVE_MINUTES = {1, 2, 5, 10, 20, 40, 90};
    private static final double[] COLD_START_WEIGHTS = {1, 3, 10, 30, 40, 60, 100, 300, 1_000};
    private static final long DEFAULT_SEED = 20_261_203;

    private ReplayMain() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        try {
            run(arguments);
        } catch (RuntimeFailure e) {
            System.err.println("policy-replay: " + e.getMessage());
            System.exit(e.exitCode().code());
        }
        System.exit(ExitCode.OK.code());
    }

    private static void run(String[] arguments) throws RuntimeFailure {
        Options options = Options.of("policy-replay", "Compares keep-alive policies on generated traces.")
                .section("Trace")
                .value("seed", "number", "seed of the generated demand")
                .section("Output")
                .value("plots", "directory", "writes one SVG a fleet: cold-start p99 against idle accelerator hours")
                .section("Help")
                .flag("help", "shows this text");
        ParsedOptions parsed = options.parse(arguments);
        if (parsed.has("help")) {
            System.out.print(options.usage());
            return;
        }
        long seed = parsed.number("seed", DEFAULT_SEED, 0, Long.MAX_VALUE);
        Optional<Path> plotDirectory = parsed.value("plots").map(Path::of);
        for (Fleet fleet : List.of(Fleet.elGohary(), Fleet.donautal(), Fleet.designSize())) {
            Trace trace = TraceGenerator.generate(fleet, seed);
            List<ReplayResult> results = replayPolicies(trace);
            results.addAll(replayWeights(trace));
            printTable(fleet, results);
            if (plotDirectory.isPresent()) {
                TradeOffPlot.write(plotDirectory.get(), fleet, results);
            }
        }
    }

    /** Replays the trace through each policy at the cold start weight of its fleet. */
    static List<ReplayResult> replayPolicies(Trace trace) {
        List<ReplayResult> results = new ArrayList<>();
        for (ReplayPolicy policy : policies()) {
            results.add(PolicyReplay.run(trace, policy));
        }
        return results;
    }

    /** Replays the adaptive policy at several cold start weights, which gives the trade-off curve in the plot. */
    static List<ReplayResult> replayWeights(Trace trace) {
        List<ReplayResult> results = new ArrayList<>();
        for (double weight : COLD_START_WEIGHTS) {
            String name = String.format(Locale.ROOT, "adaptive, weight %.0f", weight);
            ReplayPolicy policy = new ReplayPolicy.KeepAlive(name, KeepAlivePolicy.adaptive());
            results.add(PolicyReplay.run(trace.withWeight(weight), policy));
        }
        return results;
    }

    private static List<ReplayPolicy> policies() {
        List<ReplayPolicy> policies = new ArrayList<>();
        policies.add(new ReplayPolicy.KeepAlive("adaptive", KeepAlivePolicy.adaptive()));
        policies.add(new ReplayPolicy.KeepAlive("never unload", KeepAlivePolicy.fixed(KeepAlivePolicy.NEVER_MS)));
        for (long minutes : FIXED_KEEP_ALIVE_MINUTES) {
            policies.add(new ReplayPolicy.KeepAlive(
                    "fixed " + minutes + " min", KeepAlivePolicy.fixed(minutes * MINUTE_MS)));
        }
        policies.add(new ReplayPolicy.LeastRecentlyUsed("least recently used"));
        policies.add(new ReplayPolicy.Clairvoyant("clairvoyant", false));
        policies.add(new ReplayPolicy.Clairvoyant("clairvoyant, loads ahead", true));
        return policies;
    }

    private static void printTable(Fleet fleet, List<ReplayResult> results) {
        System.out.printf(
                Locale.ROOT,
                "%n%s: %d models, %d accelerators, %d days, weight %.0f%n%-26s %9s %8s %8s %8s %8s %8s %9s %9s%n",
                fleet.name(),
                fleet.models(),
                fleet.accelerators(),
                fleet.days(),
                fleet.coldStartWeight(),
                "policy",
                "requests",
                "loads",
                "refused",
                "p50 s",
                "p95 s",
                "p99 s",
                "idle h",
                "weighted");
        for (ReplayResult result : results) {
            System.out.printf(
                    Locale.ROOT,
                    "%-26s %9d %8d %8d %8.1f %8.1f %8.1f %9.1f %9.1f%n",
                    result.policy(),
                    result.requests(),
                    result.loads(),
                    result.refused(),
                    result.coldStartSeconds(50),
                    result.coldStartSeconds(95),
                    result.coldStartSeconds(99),
                    result.idleAcceleratorHours(),
                    result.weightedHours());
        }
    }
}
