package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Differences between a sheet and the active configuration, one for each deployment that differs.
 *
 * @param differences differences in the order of the configuration, then those that only the sheet has, in its order
 */
public record SheetDiff(List<RowDifference> differences) {
    /** Copies the list. */
    public SheetDiff {
        differences = List.copyOf(differences);
    }

    /**
     * Compares a sheet with the active configuration.
     *
     * @param sheet valid sheet
     * @param active active configuration
     * @return the differences
     */
    public static SheetDiff between(Sheet sheet, FleetConfiguration active) {
        Map<String, Deployment> sheetDeployments =
                sheet.deployments().stream().collect(Collectors.toMap(Deployment::name, Function.identity()));
        Set<String> names = new LinkedHashSet<>();
        active.deployments().forEach(deployment -> names.add(deployment.name()));
        sheet.deployments().forEach(deployment -> names.add(deployment.name()));
        List<RowDifference> differences = new ArrayList<>();
        for (String name : names) {
            compare(name, active.deployment(name), Optional.ofNullable(sheetDeployments.get(name)))
                    .map(difference -> orConflict(difference, sheet, active))
                    .ifPresent(differences::add);
        }
        return new SheetDiff(differences);
    }

    /** Returns the conflicts; a sheet with a conflict must not be applied. */
    public List<RowDifference.Conflict> conflicts() {
        return differences.stream()
                .filter(RowDifference.Conflict.class::isInstance)
                .map(RowDifference.Conflict.class::cast)
                .toList();
    }

    /** Returns a conflict instead of the difference if the deployment was changed after the sheet was exported. */
    private static RowDifference orConflict(RowDifference difference, Sheet sheet, FleetConfiguration active) {
        long changedInVersion = active.lastChangeVersion(difference.deployment());
        return changedInVersion > sheet.exportedFromVersion()
                ? new RowDifference.Conflict(
                        difference.deployment(), changedInVersion, sheet.exportedFromVersion(), difference)
                : difference;
    }

    private static Optional<RowDifference> compare(
            String name, Optional<Deployment> active, Optional<Deployment> inSheet) {
        if (active.equals(inSheet)) {
            return Optional.empty();
        }
        if (inSheet.isEmpty()) {
            return Optional.of(new RowDifference.Removed(name));
        }
        if (active.isEmpty()) {
            return Optional.of(new RowDifference.Added(inSheet.get()));
        }
        return Optional.of(new RowDifference.Changed(name, changedCells(active.get(), inSheet.get())));
    }

    private static List<String> changedCells(Deployment active, Deployment inSheet) {
        List<String> cells = new ArrayList<>();
        for (SheetColumn column : SheetColumn.values()) {
            String before = SheetWriter.cellText(active, column);
            String after = SheetWriter.cellText(inSheet, column);
            if (!before.equals(after)) {
                cells.add(column.title() + ": " + before + " -> " + after);
            }
        }
        return cells;
    }
}
