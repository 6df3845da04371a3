package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import java.util.List;

/**
 * Valid sheet.
 *
 * @param exportedFromVersion version of the configuration that the sheet was exported from, 0 before the first commit
 * @param rows rows in the order of the sheet
 */
public record Sheet(long exportedFromVersion, List<SheetRow> rows) {
    /** Copies the rows. */
    public Sheet {
        rows = List.copyOf(rows);
    }

    /** Returns the deployments in the order of the sheet. */
    public List<Deployment> deployments() {
        return rows.stream().map(SheetRow::deployment).toList();
    }
}
