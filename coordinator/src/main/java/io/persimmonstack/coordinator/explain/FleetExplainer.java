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
 * Explains the state of deployments, models and runners to operators, from what this node knows.
 *
 * @param view members, runner states and host list known to this node
 * @param runners runners owned by this node
 * @param history last requests, refusals and unloads on this node
 * @param configuration supplies the active configuration
 * @param sizes returns the accelerator memory that a model or adapter needs, or empty if the weight store's catalogue
 *     does not list it
 */
public record FleetExplainer(
        FleetView view,
        Runners runners,
        LoadHistory history,
        Supplier<FleetConfiguration> configuration,
        Function<LoadKey, Optional<LoadSizes>> sizes) {

    /**
     * Records a router's load request and, if it was refused, the reason. Ignores requests that another coordinator
     * forwarded and requests for unknown models.
     *
     * @param request load request as received
     * @param answer answer that is returned to the sender
     */
    public void recordAnswer(LoadRequest request, LoadAnswer answer) {
        if (request.getHops() > 0 || answer.getResult() == LoadResult.REFUSED_UNKNOWN) {
            return;
        }
        LoadKey key = new LoadKey(ModelVersion.parse(request.getModel()), Optional.ofNullable(request.getAdapter()));
        long nowMs = System.currentTimeMillis();
        history.recordRequested(key, new LoadHistory.Occurrence(nowMs, "from zone " + request.getZone()));
        if (!LoadAnswers.isAccepted(answer)) {
            String code = ModelExplainer.toKebabCase(answer.getResult().name());
            String reason = answer.isSetReason() ? ", " + answer.getReason() : "";
            history.recordRefused(key, new LoadHistory.Occurrence(nowMs, code + reason));
        }
    }

    /**
     * Explains a deployment, model, model version or runner.
     *
     * @param subject name of the deployment, model, model version or runner
     * @return one line for each known attribute, empty if nothing has that name
     */
    public List<StatusLine> explain(String subject) {
        List<StatusLine> lines = new ArrayList<>();
        List<RunnerView> runnerViews = view.runners();
        runnerViews.stream()
                .filter(runner -> runner.runner().equals(subject))
                .forEach(runner -> lines.addAll(RunnerExplainer.explain(runner.status(), runner.ownerLive())));
        runners.agent(subject)
                .ifPresent(agent -> lines.add(RunnerExplainer.line(
                        subject,
                        Topic.OWNED_SINCE,
                        Instant.ofEpochMilli(agent.ownedSinceMs()).toString())));
        Optional.ofNullable(runners.obstacles().get(subject))
                .ifPresent(reason -> lines.add(RunnerExplainer.line(
                        subject, Topic.NOT_ACQUIRED, view.membership().self().node() + ": " + reason)));
        FleetConfiguration activeConfiguration = configuration.get();
        ModelExplainer modelExplainer = new ModelExplainer(activeConfiguration, runnerViews, history, sizes);
        matchingVersions(subject, activeConfiguration, runnerViews)
                .forEach(version -> lines.addAll(modelExplainer.explain(version)));
        return lines;
    }

    private static TreeSet<ModelVersion> matchingVersions(
            String subject, FleetConfiguration activeConfiguration, List<RunnerView> runnerViews) {
        TreeSet<ModelVersion> versions = new TreeSet<>();
        activeConfiguration.deployment(subject).ifPresent(deployment -> versions.addAll(deployment.modelVersions()));
        activeConfiguration.modelVersions().stream()
                .filter(version -> matches(subject, version))
                .forEach(versions::add);
        runnerViews.stream()
                .flatMap(runner -> runner.status().getSlots().stream())
                .map(ModelVersion::parse)
                .filter(version -> matches(subject, version))
                .forEach(versions::add);
        return versions;
    }

    private static boolean matches(String subject, ModelVersion version) {
        return version.model().equals(subject) || version.toString().equals(subject);
    }
}
