package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Converts the cells of one row to a deployment, and collects an error for each invalid cell. */
final class RowReader {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final String EXPECTED_NAME = "a name of letters, digits, '.', '_' and '-', at most 100 characters";
    private static final Pattern CALLER_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,99}");
    private static final String EXPECTED_CALLER = "a name of letters, digits, '_' and '-', at most 100 characters";
    private static final int MAX_REPLICAS = 10_000;
    private static final int MAX_DEADLINE_MS = 3_600_000;
    private static final double MAX_COLD_START_WEIGHT = 1_000_000;
    private final int rowNumber;
    private final Map<SheetColumn, String> cells;
    private final List<SheetError> errors = new ArrayList<>();

    private RowReader(int rowNumber, Map<SheetColumn, String> cells) {
        this.rowNumber = rowNumber;
        this.cells = cells;
    }

    /**
     * Creates a reader of one row.
     *
     * @param rowNumber row as a spreadsheet numbers it
     * @param cells text of every column, without surrounding blanks
     * @return the reader
     */
    static RowReader of(int rowNumber, Map<SheetColumn, String> cells) {
        return new RowReader(rowNumber, cells);
    }

    /** Returns the errors found by {@link #read}. */
    List<SheetError> errors() {
        return errors;
    }

    /** Converts the row; returns empty if a cell is invalid or the cap is below the minimum number of replicas. */
    Optional<SheetRow> read() {
        Deployment deployment = new Deployment(
                name(SheetColumn.DEPLOYMENT),
                name(SheetColumn.MODEL),
                nameList(SheetColumn.VERSIONS, NAME_PATTERN, EXPECTED_NAME, 1),
                nameList(SheetColumn.ADAPTERS, NAME_PATTERN, EXPECTED_NAME, 0),
                nameList(SheetColumn.CALLERS, CALLER_PATTERN, EXPECTED_CALLER, 1),
                integer(SheetColumn.PRIORITY, 0, Deployment.LOWEST_PRIORITY),
                integer(SheetColumn.REPLICA_CAP, 0, MAX_REPLICAS),
                integer(SheetColumn.MIN_REPLICAS, 0, MAX_REPLICAS),
                coldStartWeight(),
                integer(SheetColumn.MAX_DEADLINE_MS, 1, MAX_DEADLINE_MS));
        if (errors.isEmpty() && deployment.replicaCap() < deployment.minReplicas()) {
            String expected = "at least min_replicas, " + deployment.minReplicas();
            addError(SheetColumn.REPLICA_CAP, cells.get(SheetColumn.REPLICA_CAP), expected);
        }
        return errors.isEmpty() ? Optional.of(new SheetRow(rowNumber, deployment)) : Optional.empty();
    }

    private String name(SheetColumn column) {
        String value = cells.get(column);
        if (!NAME_PATTERN.matcher(value).matches()) {
            addError(column, value, EXPECTED_NAME);
        }
        return value;
    }

    /**
     * Returns the names in a cell, which are separated by semicolons.
     *
     * @param column column of the cell
     * @param pattern pattern of a valid name
     * @param expectedName description of the pattern for error messages
     * @param minNames minimum number of names
     * @return the names, also the invalid ones; an error has been added for each of those
     */
    private List<String> nameList(SheetColumn column, Pattern pattern, String expectedName, int minNames) {
        String value = cells.get(column);
        List<String> names = value.isEmpty()
                ? List.of()
                : Arrays.stream(value.split(";", -1)).map(String::strip).toList();
        if (names.size() < minNames) {
            addError(column, value, "at least one name, several separated by ';'");
        }
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!pattern.matcher(name).matches()) {
                addError(column, name, expectedName + ", several separated by ';'");
            } else if (!seen.add(name)) {
                addError(column, name, "each name once");
            }
        }
        return names;
    }

    /** Returns the whole number in a cell; adds an error if it is not one or not within the bounds, inclusive. */
    private int integer(SheetColumn column, int min, int max) {
        String value = cells.get(column);
        String expected = "a whole number from " + min + " to " + max;
        try {
            int number = Integer.parseInt(value);
            if (number < min || number > max) {
                addError(column, value, expected);
            }
            return number;
        } catch (NumberFormatException e) {
            addError(column, value, expected);
            return min;
        }
    }

    private double coldStartWeight() {
        String value = cells.get(SheetColumn.COLD_START_WEIGHT);
        boolean isDecimal = value.matches("\\d{1,7}(\\.\\d{1,9})?");
        double weight = isDecimal ? Double.parseDouble(value) : -1;
        if (weight < 0 || weight > MAX_COLD_START_WEIGHT) {
            addError(SheetColumn.COLD_START_WEIGHT, value, "a number from 0 to 1000000 such as 0.5");
            return 0;
        }
        return weight;
    }

    private void addError(SheetColumn column, String value, String expected) {
        errors.add(new SheetError(rowNumber, column.title(), value, expected));
    }
}
