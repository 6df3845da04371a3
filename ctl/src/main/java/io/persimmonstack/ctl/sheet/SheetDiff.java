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
 * Difference between a sheet and the configuration in force, row by row.
 *
 * @param rows differences, in the order of the names of the configuration, then of the sheet
 */
public record SheetDiff(List<RowDifference> rows) {
    /** Copies the rows. */
    public SheetDiff {
        rows = List.copyOf(rows);
    }

    /**
     * Compares a sheet with the configuration in force.
     *
     * @param sheet sheet without faults
     * @param inForce configuration in force
     * @return the difference
     */
    public static SheetDiff between(Sheet sheet, FleetConfiguration inForce) {
        Map<String, Deployment> wanted =
                sheet.deployments().stream().collect(Collectors.toMap(Deployment::name, Function.identity()));
        Set<String> names = new LinkedHashSet<>();
        inForce.deployments().forEach(deployment -> names.add(deployment.name()));
        sheet.deployments().forEach(deployment -> names.add(deployment.name()));
        List<RowDifference> rows = new ArrayList<>();
        for (String name : names) {
            compare(name, inForce.deployment(name), Optional.ofNullable(wanted.get(name)))
                    .map(difference -> guard(difference, sheet, inForce))
                    .ifPresent(rows::add);
        }
        return new SheetDiff(rows);
    }

    /** Returns the rows that keep the sheet from being applied. */
    public List<RowDifference.Conflict> conflicts() {
        return rows.stream()
                .filter(RowDifference.Conflict.class::isInstance)
                .map(RowDifference.Conflict.class::cast)
                .toList();
    }

    private static RowDifference guard(RowDifference difference, Sheet sheet, FleetConfiguration inForce) {
        long changedIn = inForce.lastChangeVersion(difference.deployment());
        return changedIn > sheet.exportedFrom()
                ? new RowDifference.Conflict(difference.deployment(), changedIn, sheet.exportedFrom(), difference)
                : difference;
    }

    private static Optional<RowDifference> compare(
            String name, Optional<Deployment> inForce, Optional<Deployment> wanted) {
        if (inForce.equals(wanted)) {
            return Optional.empty();
        }
        if (wanted.isEmpty()) {
            return Optional.of(new RowDifference.Removed(name));
        }
        if (inForce.isEmpty()) {
            return Optional.of(new RowDifference.Added(wanted.get()));
        }
        return Optional.of(new RowDifference.Changed(name, cells(inForce.get(), wanted.get())));
    }

    private static List<String> cells(Deployment inForce, Deployment wanted) {
        List<String> cells = new ArrayList<>();
        for (SheetColumn column : SheetColumn.values()) {
            String before = SheetWriter.cell(inForce, column);
            String after = SheetWriter.cell(wanted, column);
            if (!before.equals(after)) {
                cells.add(column.title() + ": " + before + " -> " + after);
            }
        }
        return cells;
    }
}
