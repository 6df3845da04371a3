package io.persimmonstack.coordinator.load;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Chooses where slots are granted ahead of demand, so that a cold start needs no call to the key-value service. Every
 * node comes to the same choice from the same view, and only the owner of the chosen runner acts on it.
 */
public final class SlotPlanner {
    /**
     * Slot to be granted ahead of demand.
     *
     * @param runner runner that is to hold it
     * @param model model version
     */
    public record Proposal(String runner, ModelVersion model) {}

    private SlotPlanner() {}

    /**
     * Proposes one more slot for each model that has fewer than its cap.
     *
     * @param configuration configuration in force
     * @param runners all runners known
     * @param baseBytes memory of a model, empty where it is not known
     * @return the proposals
     */
    public static List<Proposal> propose(
            FleetConfiguration configuration,
            List<RunnerView> runners,
            Function<ModelVersion, Optional<Long>> baseBytes) {
        Map<String, List<Deployment>> byModel =
                configuration.deployments().stream().collect(Collectors.groupingBy(Deployment::model));
        return byModel.entrySet().stream()
                .flatMap(entry -> propose(
                        entry.getKey(), entry.getValue(), configuration.replicaCap(entry.getKey()), runners, baseBytes)
                        .stream())
                .toList();
    }

    private static Optional<Proposal> propose(
            String model,
            List<Deployment> deployments,
            int cap,
            List<RunnerView> runners,
            Function<ModelVersion, Optional<Long>> baseBytes) {
        List<ModelVersion> grantedSlots = runners.stream()
                .flatMap(runner -> runner.slotsOf(model).stream())
                .toList();
        if (grantedSlots.size() >= cap) {
            return Optional.empty();
        }
        Optional<ModelVersion> version = deployments.stream()
                .flatMap(deployment -> deployment.modelVersions().stream())
                .distinct()
                .min(Comparator.comparingLong(candidate ->
                        grantedSlots.stream().filter(candidate::equals).count()));
        return version.flatMap(chosenVersion -> baseBytes
                .apply(chosenVersion)
                .flatMap(modelBytes -> chooseRunner(chosenVersion, modelBytes, runners))
                .map(runner -> new Proposal(runner, chosenVersion)));
    }

    private static Optional<String> chooseRunner(ModelVersion model, long modelBytes, List<RunnerView> runners) {
        Set<String> zonesWithSlots = new HashSet<>();
        runners.stream()
                .filter(runner -> !runner.slotsOf(model.model()).isEmpty())
                .forEach(runner -> zonesWithSlots.add(runner.status().getZone()));
        List<RunnerView> candidates = runners.stream()
                .filter(runner -> runner.ownerLive() && !runner.leaving() && !runner.hasSlot(model))
                .filter(runner -> runner.status().getMemoryBytes() >= modelBytes)
                .toList();
        List<String> rankedRunners = RendezvousHash.ranked(
                model.toString(), candidates.stream().map(RunnerView::runner).toList());
        return candidates.stream()
                .min(Comparator.comparingInt((RunnerView runner) -> runner.checkpointRank(model))
                        .thenComparing(runner ->
                                zonesWithSlots.contains(runner.status().getZone()))
                        .thenComparingInt(runner -> rankedRunners.indexOf(runner.runner())))
                .map(RunnerView::runner);
    }
}
