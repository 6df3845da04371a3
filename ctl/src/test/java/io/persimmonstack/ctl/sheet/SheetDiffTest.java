package io.persimmonstack.ctl.sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SheetDiffTest {
    private static final FleetConfiguration ACTIVE =
            FleetConfiguration.empty().withDeployments(List.of(deployment("a", 1), deployment("b", 1)));

    @Test
    void identicalSheetHasNoDifferences() {
        assertEquals(List.of(), messages(1, deployment("a", 1), deployment("b", 1)));
    }

    @Test
    void additionsChangesAndRemovalsAreListed() {
        assertEquals(
                List.of("~ a: replica_cap: 1 -> 2", "- b", "+ c: model-c, replica_cap 5"),
                messages(1, deployment("a", 2), deployment("c", 5)));
    }

    @Test
    void sheetExportedBeforeALaterChangeConflicts() {
        String conflict =
                " changed in version 1, after version 0 that the sheet was exported from; the sheet would do: ";
        assertEquals(
                List.of(
                        "! a:" + conflict + "~ a: replica_cap: 1 -> 2",
                        "! b:" + conflict + "- b",
                        "+ c: model-c, replica_cap 5"),
                messages(0, deployment("a", 2), deployment("c", 5)));
    }

    @Test
    void deploymentRemovedAfterTheExportConflicts() {
        FleetConfiguration withoutB = ACTIVE.withDeployments(List.of(deployment("a", 1)));
        Sheet sheet = sheet(1, deployment("a", 1), deployment("b", 1));
        assertEquals(1, SheetDiff.between(sheet, withoutB).conflicts().size());
        Sheet newExport = sheet(2, deployment("a", 1), deployment("b", 1));
        assertEquals(0, SheetDiff.between(newExport, withoutB).conflicts().size());
    }

    private static List<String> messages(long exportedFromVersion, Deployment... deployments) {
        return SheetDiff.between(sheet(exportedFromVersion, deployments), ACTIVE).differences().stream()
                .map(RowDifference::message)
                .toList();
    }

    private static Sheet sheet(long exportedFromVersion, Deployment... deployments) {
        List<SheetRow> rows = new ArrayList<>();
        for (Deployment deployment : deployments) {
            rows.add(new SheetRow(rows.size() + 3, deployment));
        }
        return new Sheet(exportedFromVersion, rows);
    }

    private static Deployment deployment(String name, int cap) {
        return new Deployment(name, "model-" + name, List.of("1"), List.of(), List.of("desk"), 1, cap, 0, 1, 1_000);
    }
}
