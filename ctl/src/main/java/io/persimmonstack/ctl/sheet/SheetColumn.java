package io.persimmonstack.ctl.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Columns of the sheet, in the order of an export. */
public enum SheetColumn {
    /** Name of the deployment, unique in the sheet. */
    DEPLOYMENT,
    /** Name of the model. */
    MODEL,
    /** Versions that may be served, the default first. */
    VERSIONS,
    /** Adapters that may be served, possibly none. */
    ADAPTERS,
    /** Callers that may use the deployment. */
    CALLERS,
    /** 0, most urgent, to 9. */
    PRIORITY,
    /** Most replicas of the model, all versions and deployments together. */
    REPLICA_CAP,
    /** Replicas that the deployment needs when it is in use. */
    MIN_REPLICAS,
    /** Idle accelerator seconds that one second of cold start is worth. */
    COLD_START_WEIGHT,
    /** Longest time that a request may wait, in milliseconds. */
    MAX_DEADLINE_MS;

    /** Returns the name in the header row. */
    public String title() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the names of all columns, in the order of an export. */
    public static List<String> titles() {
        return Arrays.stream(values()).map(SheetColumn::title).toList();
    }

    /**
     * Finds a column by its name in the header row.
     *
     * @param title name in the header row
     * @return the column, if there is one
     */
    public static Optional<SheetColumn> ofTitle(String title) {
        return Arrays.stream(values())
                .filter(column -> column.title().equals(title))
                .findFirst();
    }
}
