package io.persimmonstack.ctl.sheet;

/**
 * Error in a sheet.
 *
 * @param rowNumber row as a spreadsheet numbers it, 0 if the error concerns the whole file
 * @param column name of the column, empty if the error concerns the whole row or file
 * @param value invalid value
 * @param expected description of valid values, with a hint if the value resembles one
 */
public record SheetError(int rowNumber, String column, String value, String expected) {
    private static final int MAX_QUOTED_CHARACTERS = 40;

    /** Returns the error as one line for operators. */
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
