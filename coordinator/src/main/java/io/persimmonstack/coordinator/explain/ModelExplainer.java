package io.persimmonstack.coordinator.explain;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.Demand;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadPlan;
import io.persimmonstack.coordinator.load.LoadPlanner;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.coordinator.load.RunnerView;
import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.StatusLine;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Explains a model version: where it is loaded, which runners hold its slots, what a load request would lead to now and
 * what happened to it last. Has no side effects.
 *
 * @param configuration active configuration
 * @param runners all known runners
 * @param history last requests, refusals and unloads on this node
 * @param sizes returns the accelerator memory that a model or adapter needs, or empty if the weight store's catalogue
 *     does not list it
 */
record ModelExplainer(
        FleetConfiguration configuration,
        List<RunnerView> runners,
        LoadHistory history,
        Function<LoadKey, Optional<LoadSizes>> sizes) {

    /**
     * Explains a model version and the adapters that deployments use on it.
     *
     * @param model model version
     * @return one line for each known attribute
     */
    List<StatusLine> explain(ModelVersion model) {
        List<Deployment> servingDeployments = configuration.deployments().stream()
                .filter(deployment -> deployment.modelVersions().contains(model))
                .toList();
        List<StatusLine> lines = new ArrayList<>();
        if (!servingDeployments.isEmpty()) {
            lines.add(line(model, Topic.DEPLOYMENT, deploymentNames(servingDeployments)));
        }
        lines.add(line(model, Topic.STATE, replicaStates(model)));
        lines.add(line(model, Topic.SLOTS, slotUsage(model)));
        if (!servingDeployments.isEmpty()) {
            lines.add(line(model, Topic.IF_ASKED_NOW, expectedLoadOutcome(model)));
        }
        history.entriesFor(loadKeys(model, servingDeployments)).forEach(entry -> addHistoryLines(entry, lines));
        return lines;
    }

    private static String deploymentNames(List<Deployment> servingDeployments) {
        return servingDeployments.stream().map(Deployment::name).collect(Collectors.joining(" "));
    }

    private static List<LoadKey> loadKeys(ModelVersion model, List<Deployment> servingDeployments) {
        List<LoadKey> keys = new ArrayList<>();
        keys.add(new LoadKey(model, Optional.empty()));
        servingDeployments.stream()
                .flatMap(deployment -> deployment.adapters().stream())
                .distinct()
                .map(adapter -> new LoadKey(model, Optional.of(adapter)))
                .forEach(keys::add);
        return keys;
    }

    /** Describes the runners that have the version loaded or loading. */
    private String replicaStates(ModelVersion model) {
        String replicas = runners.stream()
                .flatMap(runner -> runner.model(model).map(entry -> describeReplica(runner, entry)).stream())
                .collect(Collectors.joining(", "));
        return replicas.isEmpty() ? Topic.COLD : replicas;
    }

    private static String describeReplica(RunnerView runner, LoadedModel entry) {
        String state = entry.getState().name().toLowerCase(Locale.ROOT) + " on " + runner.runner();
        String ready = entry.isSetReadyInMs() ? ", ready in " + entry.getReadyInMs() + " ms" : "";
        String adapters = entry.getAdapters().isEmpty() ? "" : " with " + String.join(" ", entry.getAdapters());
        return state + ready + adapters;
    }

    /** Describes which runners hold a slot of the version, and how much of the model's cap all versions use. */
    private String slotUsage(ModelVersion model) {
        List<String> holders = runners.stream()
                .filter(runner -> runner.hasSlot(model))
                .map(RunnerView::runner)
                .sorted()
                .toList();
        long slotsGranted = runners.stream()
                .mapToLong(runner -> runner.slotsOf(model.model()).size())
                .sum();
        String holderNames = holders.isEmpty() ? "none" : String.join(" ", holders);
        return holderNames + "; " + slotsGranted + " of cap " + configuration.replicaCap(model.model())
                + " spent, all versions";
    }

    /** Plans a load request without ordering anything, and describes the plan. */
    private String expectedLoadOutcome(ModelVersion model) {
        LoadKey key = new LoadKey(model, Optional.empty());
        Optional<LoadSizes> size = sizes.apply(key);
        if (size.isEmpty()) {
            return "refused: the weight store's catalogue has no " + key;
        }
        Demand demand = new Demand(key, "", "", 1, size.get());
        return switch (LoadPlanner.plan(demand, runners, configuration.replicaCap(model.model()))) {
            case LoadPlan.Ready ready -> "served by " + ready.runner().runner();
            case LoadPlan.Underway underway -> "waits for " + underway.runner().runner();
            case LoadPlan.Order order -> "loaded on " + order.runners().get(0).runner();
            case LoadPlan.MoveSlot move ->
                "loaded on " + move.runners().get(0).runner() + " once "
                        + move.holders().get(0).runner() + " has given its slot back";
            case LoadPlan.Refuse refuse ->
                "refused: " + toKebabCase(refuse.result().name()) + ", " + refuse.reason();
        };
    }

    private static void addHistoryLines(LoadHistory.Entry entry, List<StatusLine> lines) {
        addOccurrence(entry, Topic.ASKED, entry.lastRequested(), lines);
        addOccurrence(entry, Topic.REFUSED, entry.lastRefused(), lines);
        addOccurrence(entry, Topic.UNLOADED, entry.lastUnloaded(), lines);
    }

    private static void addOccurrence(
            LoadHistory.Entry entry, Topic topic, Optional<LoadHistory.Occurrence> occurrence, List<StatusLine> lines) {
        occurrence.ifPresent(event -> lines.add(new StatusLine(
                entry.key().toString(), topic.text(), Instant.ofEpochMilli(event.atMs()) + " " + event.detail())));
    }

    /** Converts the name of an enum constant to the form shown to operators, such as {@code refused-cap}. */
    static String toKebabCase(String result) {
        return result.toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static StatusLine line(ModelVersion model, Topic topic, String value) {
        return new StatusLine(model.toString(), topic.text(), value);
    }
}
