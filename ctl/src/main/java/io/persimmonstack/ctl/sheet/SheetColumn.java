package io.persimmonstack.ctl.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Columns of the sheet, in the order of an export. */
public enum SheetColumn {
    /** Name of the deployment, unique in the sheet. */
    DEPLOYMENT,
    /** Name of the model that the deployment serves. */
    MODEL,
    /** Versions that may be served, the default first. */
    VERSIONS,
    /** Adapters that may be served on top of the model, possibly none. */
    ADAPTERS,
    /** Callers that may use the deployment. */
    CALLERS,
    /** Priority of requests, from 0, the most urgent, to 9. */
    PRIORITY,
    /** Maximum number of replicas of the model, over all versions and deployments. */
    REPLICA_CAP,
    /** Replicas that the deployment needs when it is in use. */
    MIN_REPLICAS,
    /** Idle accelerator seconds that one second of cold start is worth. */
    COLD_START_WEIGHT,
    /** Longest time that a request may wait for its answer, in milliseconds. */
    MAX_DEADLINE_MS;

    /** Returns the name of the column in the header row. */
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
     * @return the column, or empty if no column has this name
     */
    public static Optional<SheetColumn> ofTitle(String title) {
        return Arrays.stream(values())
                .filter(column -> column.title().equals(title))
                .findFirst();
    }
}
