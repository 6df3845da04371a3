package io.persimmonstack.ctl.command;

import io.persimmonstack.runtime.TextTable;
import io.persimmonstack.wire.gen.StatusLine;
import java.util.List;

/** Formats the status lines of coordinators as a table. */
final class StatusLineTable {
    private StatusLineTable() {}

    /** Returns a table with subject, attribute and value of each line. */
    static String format(List<StatusLine> lines) {
        TextTable table = TextTable.of("SUBJECT", "ATTRIBUTE", "VALUE");
        lines.forEach(line -> table.row(line.getSubject(), line.getAttribute(), line.getValue()));
        return table.text();
    }
}
