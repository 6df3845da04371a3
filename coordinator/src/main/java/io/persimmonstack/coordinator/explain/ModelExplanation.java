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
 * Explains the versions of a model: where they are, what a demand would meet now, what happened last. Pure.
 *
 * @param configuration configuration in force
 * @param runners all runners known
 * @param history what this node did
 * @param sizes accelerator memory of a model, empty where the weight store's catalogue does not have it
 */
record ModelExplanation(
        FleetConfiguration configuration,
        List<RunnerView> runners,
        LoadHistory history,
        Function<LoadKey, Optional<LoadSizes>> sizes) {

    /** Explains one version of a model. */
    List<StatusLine> explain(ModelVersion model) {
        List<Deployment> serving = configuration.deployments().stream()
                .filter(deployment -> deployment.modelVersions().contains(model))
                .toList();
        List<StatusLine> lines = new ArrayList<>();
        if (!serving.isEmpty()) {
            lines.add(line(model, Topic.DEPLOYMENT, names(serving)));
        }
        lines.add(line(model, Topic.STATE, state(model)));
        lines.add(line(model, Topic.SLOTS, slots(model)));
        if (!serving.isEmpty()) {
            lines.add(line(model, Topic.IF_ASKED_NOW, ifAskedNow(model)));
        }
        history.entriesFor(keys(model, serving)).forEach(entry -> addHistory(entry, lines));
        return lines;
    }

    private static String names(List<Deployment> serving) {
        return serving.stream().map(Deployment::name).collect(Collectors.joining(" "));
    }

    private static List<LoadKey> keys(ModelVersion model, List<Deployment> serving) {
        List<LoadKey> keys = new ArrayList<>();
        keys.add(new LoadKey(model, Optional.empty()));
        serving.stream()
                .flatMap(deployment -> deployment.adapters().stream())
                .distinct()
                .map(adapter -> new LoadKey(model, Optional.of(adapter)))
                .forEach(keys::add);
        return keys;
    }

    private String state(ModelVersion model) {
        String places = runners.stream()
                .flatMap(runner -> runner.model(model).map(entry -> place(runner, entry)).stream())
                .collect(Collectors.joining(", "));
        return places.isEmpty() ? Topic.COLD : places;
    }

    private static String place(RunnerView runner, LoadedModel entry) {
        String state = entry.getState().name().toLowerCase(Locale.ROOT) + " on " + runner.runner();
        String ready = entry.isSetReadyInMs() ? ", ready in " + entry.getReadyInMs() + " ms" : "";
        String adapters = entry.getAdapters().isEmpty() ? "" : " with " + String.join(" ", entry.getAdapters());
        return state + ready + adapters;
    }

    private String slots(ModelVersion model) {
        List<String> holders = runners.stream()
                .filter(runner -> runner.hasSlot(model))
                .map(RunnerView::runner)
                .sorted()
                .toList();
        long spent = runners.stream()
                .mapToLong(runner -> runner.slotsOf(model.model()).size())
                .sum();
        String where = holders.isEmpty() ? "none" : String.join(" ", holders);
        return where + "; " + spent + " of cap " + configuration.replicaCap(model.model()) + " spent, all versions";
    }

    private String ifAskedNow(ModelVersion model) {
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
            case LoadPlan.Refuse refuse -> "refused: " + code(refuse.result().name()) + ", " + refuse.reason();
        };
    }

    private static void addHistory(LoadHistory.Entry entry, List<StatusLine> lines) {
        add(entry, Topic.ASKED, entry.lastRequested(), lines);
        add(entry, Topic.REFUSED, entry.lastRefused(), lines);
        add(entry, Topic.UNLOADED, entry.lastUnloaded(), lines);
    }

    private static void add(
            LoadHistory.Entry entry, Topic topic, Optional<LoadHistory.Occurrence> occurrence, List<StatusLine> lines) {
        occurrence.ifPresent(event -> lines.add(new StatusLine(
                entry.key().toString(), topic.text(), Instant.ofEpochMilli(event.atMs()) + " " + event.detail())));
    }

    /** Returns a result as operators see it, such as {@code refused-cap}. */
    static String code(String result) {
        return result.toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static StatusLine line(ModelVersion model, Topic topic, String value) {
        return new StatusLine(model.toString(), topic.text(), value);
    }
}
