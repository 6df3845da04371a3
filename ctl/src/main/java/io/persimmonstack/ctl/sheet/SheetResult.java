package io.persimmonstack.ctl.sheet;

import java.util.List;

/** Result of reading a sheet. */
public sealed interface SheetResult {
    /**
     * The sheet is valid.
     *
     * @param sheet the sheet
     */
    record Accepted(Sheet sheet) implements SheetResult {}

    /**
     * The sheet is invalid, and no part of it may be used.
     *
     * @param errors errors, in the order of the rows
     */
    record Rejected(List<SheetError> errors) implements SheetResult {
        /** Copies the list. */
        public Rejected {
            errors = List.copyOf(errors);
        }
    }
}
