package io.persimmonstack.ctl.sheet;

import io.persimmonstack.runtime.NearestMatch;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads a sheet, a CSV text in UTF-8: a line {@code # exported_from: <version>}, a header row, and one row for each
 * deployment.
 *
 * <pre>{@code
 * switch (SheetReader.read(bytes)) {
 *     case SheetResult.Accepted accepted -> apply(accepted.sheet());
 *     case SheetResult.Rejected rejected -> rejected.errors().forEach(error -> print(error.message()));
 * }
 * }</pre>
 */
public final class SheetReader {
    /** Maximum size of a sheet in bytes. */
    public static final int MAX_BYTES = 5 << 20;

    /** First line of a sheet. A spreadsheet appends commas to it, one for each further column. */
    private static final Pattern EXPORT_VERSION_LINE = Pattern.compile("#\\s*exported_from:\\s*(\\d{1,18})\\s*,*\\s*");

    private static final String EXPECTED_FIRST_LINE =
            "'# exported_from: <version>' as first line, as persimmonctl exports it";
    private static final CSVFormat FORMAT =
            CSVFormat.RFC4180.builder().setIgnoreEmptyLines(false).get();
    private static final char BYTE_ORDER_MARK = '\uFEFF';
    private static final int HEADER_ROW = 2;
    private final List<SheetError> errors = new ArrayList<>();
    private final List<SheetRow> rows = new ArrayList<>();
    /** Number of the last row read; a syntax error is reported for the row after it. */
    private int lastRowNumber = 1;

    private SheetReader() {}

    /**
     * Reads and checks a sheet.
     *
     * @param bytes content of the file
     * @return the sheet, or all errors found
     */
    public static SheetResult read(byte[] bytes) {
        SheetReader reader = new SheetReader();
        long exportedFromVersion = reader.parse(bytes);
        if (reader.errors.isEmpty()) {
            reader.errors.addAll(CrossRowValidator.validate(reader.rows));
        }
        return reader.errors.isEmpty()
                ? new SheetResult.Accepted(new Sheet(exportedFromVersion, reader.rows))
                : new SheetResult.Rejected(reader.errors);
    }

    /** Parses the file and returns the version that it was exported from, 0 if that cannot be read. */
    private long parse(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            addError(0, "", bytes.length + " bytes", "at most " + MAX_BYTES + " bytes");
            return 0;
        }
        Optional<String> text = decode(bytes);
        if (text.isEmpty()) {
            return 0;
        }
        if (text.get().isBlank()) {
            addError(0, "", "", "a sheet; the file is empty");
            return 0;
        }
        int endOfLine = text.get().indexOf('\n');
        String firstLine = (endOfLine < 0 ? text.get() : text.get().substring(0, endOfLine)).strip();
        Matcher versionLine = EXPORT_VERSION_LINE.matcher(firstLine);
        if (!versionLine.matches()) {
            addError(1, "", firstLine, EXPECTED_FIRST_LINE);
            return 0;
        }
        readTable(endOfLine < 0 ? "" : text.get().substring(endOfLine + 1));
        return Long.parseLong(versionLine.group(1));
    }

    /** Decodes the file and drops a byte order mark; adds an error and returns empty if it is not valid UTF-8. */
    private Optional<String> decode(byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer input = ByteBuffer.wrap(bytes);
        CharBuffer output = CharBuffer.allocate(bytes.length + 1);
        CoderResult result = decoder.decode(input, output, true);
        String text = output.flip().toString();
        if (result.isError()) {
            int rowNumber = 1
                    + (int) text.chars().filter(character -> character == '\n').count();
            String value = String.format("byte 0x%02X", bytes[input.position()]);
            addError(rowNumber, columnAtEndOf(text), value, "UTF-8; export the sheet as CSV UTF-8");
            return Optional.empty();
        }
        return Optional.of(text.isEmpty() || text.charAt(0) != BYTE_ORDER_MARK ? text : text.substring(1));
    }

    /** Returns the title of the column in which the text ends, empty if it ends in the first two lines. */
    private static String columnAtEndOf(String textBefore) {
        String line = textBefore.substring(textBefore.lastIndexOf('\n') + 1);
        int index = (int) line.chars().filter(character -> character == ',').count();
        String[] lines = textBefore.split("\n", HEADER_ROW + 1);
        if (lines.length <= HEADER_ROW) {
            return "";
        }
        String[] titles = lines[HEADER_ROW - 1].strip().split(",", -1);
        return index < titles.length ? titles[index] : "";
    }

    private void readTable(String table) {
        try (CSVParser parser = CSVParser.parse(table, FORMAT)) {
            List<SheetColumn> header = null;
            for (CSVRecord record : parser) {
                int rowNumber = (int) record.getRecordNumber() + 1;
                lastRowNumber = rowNumber;
                if (isBlank(record)) {
                    continue;
                }
                if (header == null) {
                    header = readHeader(rowNumber, record);
                } else if (errors.isEmpty() || !header.isEmpty()) {
                    readRow(rowNumber, record, header);
                }
            }
            if (header == null || (errors.isEmpty() && rows.isEmpty())) {
                addError(HEADER_ROW, "", "", header == null ? "the header row" : "at least one deployment");
            }
        } catch (IOException | UncheckedIOException e) {
            addError(lastRowNumber + 1, "", "\"", "cells in valid CSV, with quotes in pairs");
        }
    }

    private static boolean isBlank(CSVRecord record) {
        return record.stream().allMatch(String::isBlank);
    }

    /** Returns the columns in the order of the sheet, empty if the header is invalid. */
    private List<SheetColumn> readHeader(int rowNumber, CSVRecord record) {
        List<SheetColumn> header = new ArrayList<>();
        Set<SheetColumn> missing = new HashSet<>(Set.of(SheetColumn.values()));
        for (String cell : record) {
            String title = cell.strip();
            if (title.indexOf(';') >= 0) {
                addError(rowNumber, "", title, "cells separated by ','; export the sheet with commas");
                continue;
            }
            Optional<SheetColumn> column = SheetColumn.ofTitle(title);
            if (column.isEmpty()) {
                String titles = String.join(", ", SheetColumn.titles());
                addError(rowNumber, title, title, "one of " + titles + NearestMatch.hint(title, SheetColumn.titles()));
            } else if (!missing.remove(column.get())) {
                addError(rowNumber, title, title, "each column once");
            } else {
                header.add(column.get());
            }
        }
        if (errors.isEmpty()) {
            missing.stream()
                    .sorted()
                    .forEach(column -> addError(rowNumber, column.title(), "", "the column, which is missing"));
        }
        return errors.isEmpty() ? header : List.of();
    }

    private void readRow(int rowNumber, CSVRecord record, List<SheetColumn> header) {
        if (record.size() != header.size()) {
            String lastCell = record.get(record.size() - 1);
            addError(rowNumber, "", lastCell, header.size() + " cells; the row has " + record.size());
            return;
        }
        Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);
        for (int i = 0; i < header.size(); i++) {
            cells.put(header.get(i), record.get(i).strip());
        }
        RowReader reader = RowReader.of(rowNumber, cells);
        reader.read().ifPresent(rows::add);
        errors.addAll(reader.errors());
    }

    private void addError(int rowNumber, String column, String value, String expected) {
        errors.add(new SheetError(rowNumber, column, value, expected));
    }
}
