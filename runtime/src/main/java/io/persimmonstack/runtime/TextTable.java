package io.persimmonstack.runtime;

import java.util.ArrayList;
import java.util.List;

/**
 * Plain-text table for a terminal. Each column is as wide as its widest cell.
 *
 * <pre>{@code
 * System.out.print(TextTable.of("NODE", "ZONE").row("node-1", "cairo-a").text());
 * }</pre>
 */
public final class TextTable {
    private static final String COLUMN_GAP = "  ";
    private final List<List<String>> rows = new ArrayList<>();

    private TextTable() {}

    /** Returns a table with the given column titles and no rows. */
    public static TextTable of(String... titles) {
        return new TextTable().row((Object[]) titles);
    }

    /** Adds a row, converting each cell with {@link String#valueOf(Object)}. */
    public TextTable row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    /** Returns the table with one line per row, titles first, without trailing spaces. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                line.append(row.get(column));
                line.repeat(" ", width(column) - row.get(column).length()).append(COLUMN_GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream()
                .filter(row -> column < row.size())
                .mapToInt(row -> row.get(column).length())
                .max()
                .orElse(0);
    }
}
