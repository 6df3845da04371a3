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
 * Plans which slots are granted ahead of demand, so that a cold start needs no call to the key-value store. The
 * choice is deterministic: all nodes with the same view propose the same, and only the owner of the chosen runner acts
 * on it.
 */
public final class SlotPlanner {
    /**
     * Slot to be granted ahead of demand.
     *
     * @param runner name of the runner that gets the slot
     * @param model model version that the slot is for
     */
    public record Proposal(String runner, ModelVersion model) {}

    private SlotPlanner() {}

    /**
     * Proposes one more slot for each model with fewer slots than its replica cap, for the version with the fewest.
     *
     * @param configuration active configuration
     * @param runners all known runners
     * @param baseBytes returns the bytes that a base model takes, empty if the weight catalogue does not have it
     * @return the proposals, none for a model that fits no runner
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

    /**
     * Chooses by distance to the checkpoint, then prefers zones without a slot of the model, then by rendezvous rank.
     */
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
