package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Effects that applying a sheet would have on callers, models and their replicas.
 *
 * @param sheet valid sheet
 * @param active active configuration
 */
public record SheetEffects(Sheet sheet, FleetConfiguration active) {
    /**
     * Effect on one deployment or model.
     *
     * @param subject name of the deployment or model
     * @param text description of the change for operators
     */
    public record Effect(String subject, String text) {}

    /** Returns the effects by deployment, then those by model; only the conflicts if the sheet has any. */
    public List<Effect> effects() {
        List<Effect> effects = new ArrayList<>();
        SheetDiff diff = SheetDiff.between(sheet, active);
        if (!diff.conflicts().isEmpty()) {
            diff.conflicts().forEach(conflict -> addDifference(conflict, effects));
            return effects;
        }
        diff.differences().forEach(difference -> addDifference(difference, effects));
        TreeSet<String> models = new TreeSet<>();
        active.deployments().forEach(deployment -> models.add(deployment.model()));
        sheet.deployments().forEach(deployment -> models.add(deployment.model()));
        models.forEach(model -> addModel(model, effects));
        return effects;
    }

    private void addDifference(RowDifference difference, List<Effect> effects) {
        switch (difference) {
            case RowDifference.Conflict conflict ->
                effects.add(new Effect(
                        conflict.deployment(),
                        "the sheet is refused whole: version " + conflict.changedInVersion()
                                + " changed this row after the export from version " + conflict.exportedFromVersion()));
            case RowDifference.Added added ->
                effects.add(new Effect(
                        added.deployment(),
                        "callers " + joined(added.newDeployment().callers()) + " may use "
                                + added.newDeployment().model() + ", cold until first asked for"));
            case RowDifference.Removed removed ->
                effects.add(
                        new Effect(removed.deployment(), "its callers are refused as not-authorised or unknown-model"));
            case RowDifference.Changed changed -> addChanges(changed, effects);
        }
    }

    private void addChanges(RowDifference.Changed changed, List<Effect> effects) {
        Deployment before = active.deployment(changed.deployment()).orElseThrow();
        Deployment after = sheet.deployments().stream()
                .filter(deployment -> deployment.name().equals(changed.deployment()))
                .findFirst()
                .orElseThrow();
        EffectCollector collector = new EffectCollector(changed.deployment(), effects);
        collector.addListChange(
                "callers", before.callers(), after.callers(), "may use it", "are refused as not-authorised");
        collector.addListChange("adapters", before.adapters(), after.adapters(), "may be asked for", "are refused");
        collector.addListChange(
                "versions", before.versions(), after.versions(), "may be asked for", "are refused and unloaded");
        collector.addIf(
                !before.versions().isEmpty()
                        && !after.versions().isEmpty()
                        && !before.versions().get(0).equals(after.versions().get(0)),
                "requests without a version get " + defaultVersion(after) + ", not " + defaultVersion(before));
        collector.addIf(
                before.priority() != after.priority(),
                "requests wait with priority " + after.priority() + ", not " + before.priority());
        collector.addIf(
                before.coldStartWeight() != after.coldStartWeight(),
                "an idle model stays loaded "
                        + (after.coldStartWeight() > before.coldStartWeight() ? "longer" : "less long")
                        + ": one second of cold start is worth " + after.coldStartWeight()
                        + " idle accelerator seconds, not " + before.coldStartWeight());
        collector.addIf(
                before.minReplicas() != after.minReplicas(),
                "needs " + after.minReplicas() + " replicas in use, not " + before.minReplicas());
        collector.addIf(
                before.maxDeadlineMs() != after.maxDeadlineMs(),
                "a request waits at most " + after.maxDeadlineMs() + " ms, not " + before.maxDeadlineMs());
    }

    private void addModel(String model, List<Effect> effects) {
        int before = active.replicaCap(model);
        int after = active.withDeployments(sheet.deployments()).replicaCap(model);
        EffectCollector collector = new EffectCollector(model, effects);
        collector.addIf(
                before > 0 && after == 0, "no deployment serves it: its replicas are unloaded, its slots given back");
        collector.addIf(
                after > 0 && after < before,
                "at most " + after + " replicas, not " + before
                        + ": the newest slots beyond it are given back once their replicas have finished");
        collector.addIf(
                before > 0 && after > before,
                "at most " + after + " replicas, not " + before + ": slots may be granted");
    }

    private static String defaultVersion(Deployment deployment) {
        return deployment.versions().get(0);
    }

    private static String joined(List<String> names) {
        return String.join(" ", names);
    }

    /**
     * Adds the effects on one subject to a list.
     *
     * @param subject name of the deployment or model
     * @param effects list to add to
     */
    private record EffectCollector(String subject, List<Effect> effects) {
        void addIf(boolean condition, String text) {
            if (condition) {
                effects.add(new Effect(subject, text));
            }
        }

        /**
         * Adds an effect for the names that only one of two lists has.
         *
         * @param listName what the names are, such as {@code callers}
         * @param before names in the active configuration
         * @param after names in the sheet
         * @param gained what becomes possible for added names
         * @param lost what happens to removed names
         */
        void addListChange(String listName, List<String> before, List<String> after, String gained, String lost) {
            namesNotIn(before, after).ifPresent(names -> addIf(true, listName + " " + names + " " + gained));
            namesNotIn(after, before).ifPresent(names -> addIf(true, listName + " " + names + " " + lost));
        }

        /** Returns the candidates that are not excluded, separated by spaces; empty if there are none. */
        private static Optional<String> namesNotIn(List<String> excluded, List<String> candidates) {
            List<String> remaining =
                    candidates.stream().filter(name -> !excluded.contains(name)).toList();
            return remaining.isEmpty() ? Optional.empty() : Optional.of(joined(remaining));
        }
    }
}
