package io.persimmonstack.ctl.sheet;

/**
 * One fault of a sheet.
 *
 * @param rowNumber row as a spreadsheet numbers it, 0 for the whole file
 * @param column name of the column, empty for the whole row
 * @param value offending value
 * @param expected what was expected, with a hint where a known name is near
 */
public record SheetError(int rowNumber, String column, String value, String expected) {
    private static final int MAX_QUOTED_CHARACTERS = 40;

    /** Returns the error on one line. */
    public String message() {
        String rowText = rowNumber == 0 ? "file" : "row " + rowNumber;
        String location = column.isEmpty() ? rowText : rowText + ", column " + column;
        return location + ": " + quotedValue() + "; expected " + expected;
    }

    private String quotedValue() {
        StringBuilder text = new StringBuilder("'");
        value.codePoints()
                .limit(MAX_QUOTED_CHARACTERS)
                .forEach(character -> text.appendCodePoint(Character.isISOControl(character) ? '?' : character));
        return text.append(value.codePointCount(0, value.length()) > MAX_QUOTED_CHARACTERS ? "…'" : "'")
                .toString();
    }
}
