package io.persimmonstack.coordinator.explain;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.coordinator.load.LoadHistory;
import io.persimmonstack.coordinator.load.LoadKey;
import io.persimmonstack.coordinator.load.LoadSizes;
import io.persimmonstack.coordinator.load.RunnerView;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import io.persimmonstack.wire.gen.StatusLine;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Explains deployments, models and runners to operators.
 *
 * @param view state of the fleet
 * @param runners runners that this node owns
 * @param history what this node did
 * @param configuration configuration in force
 * @param sizes accelerator memory of a model, empty where the weight store's catalogue does not have it
 */
public record Explanations(
        FleetView view,
        Runners runners,
        LoadHistory history,
        Supplier<FleetConfiguration> configuration,
        Function<LoadKey, Optional<LoadSizes>> sizes) {

    /**
     * Notes what became of a demand that a router sent here.
     *
     * @param request the demand
     * @param answer the answer to the router
     */
    public void answered(LoadRequest request, LoadAnswer answer) {
        if (request.getHops() > 0 || answer.getResult() == LoadResult.REFUSED_UNKNOWN) {
            return;
        }
        LoadKey key = new LoadKey(ModelVersion.parse(request.getModel()), Optional.ofNullable(request.getAdapter()));
        long nowMs = System.currentTimeMillis();
        history.recordRequested(key, new LoadHistory.Occurrence(nowMs, "from zone " + request.getZone()));
        if (!LoadAnswers.isAccepted(answer)) {
            String code = ModelExplanation.code(answer.getResult().name());
            String reason = answer.isSetReason() ? ", " + answer.getReason() : "";
            history.recordRefused(key, new LoadHistory.Occurrence(nowMs, code + reason));
        }
    }

    /**
     * Explains a subject.
     *
     * @param subject name of a deployment, a model, a model version or a runner
     * @return what is known of it, empty where there is no such subject
     */
    public List<StatusLine> explain(String subject) {
        List<StatusLine> lines = new ArrayList<>();
        List<RunnerView> known = view.runners();
        known.stream()
                .filter(runner -> runner.runner().equals(subject))
                .forEach(runner -> lines.addAll(RunnerExplanation.explain(runner.status(), runner.ownerLive())));
        runners.agent(subject)
                .ifPresent(agent -> lines.add(RunnerExplanation.line(
                        subject,
                        Topic.OWNED_SINCE,
                        Instant.ofEpochMilli(agent.ownedSinceMs()).toString())));
        Optional.ofNullable(runners.obstacles().get(subject))
                .ifPresent(reason -> lines.add(RunnerExplanation.line(
                        subject, Topic.NOT_ACQUIRED, view.membership().self().node() + ": " + reason)));
        FleetConfiguration inForce = configuration.get();
        ModelExplanation models = new ModelExplanation(inForce, known, history, sizes);
        versions(subject, inForce, known).forEach(version -> lines.addAll(models.explain(version)));
        return lines;
    }

    private static TreeSet<ModelVersion> versions(String subject, FleetConfiguration inForce, List<RunnerView> known) {
        TreeSet<ModelVersion> versions = new TreeSet<>();
        inForce.deployment(subject).ifPresent(deployment -> versions.addAll(deployment.modelVersions()));
        inForce.modelVersions().stream()
                .filter(version -> names(subject, version))
                .forEach(versions::add);
        known.stream()
                .flatMap(runner -> runner.status().getSlots().stream())
                .map(ModelVersion::parse)
                .filter(version -> names(subject, version))
                .forEach(versions::add);
        return versions;
    }

    private static boolean names(String subject, ModelVersion version) {
        return version.model().equals(subject) || version.toString().equals(subject);
    }
}
