package io.persimmonstack.ctl.sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.persimmonstack.configuration.FleetConfiguration;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class SheetReaderTest {
    private static final String VERSION_LINE = "# exported_from: 0\n";
    private static final String HEADER = "deployment,model,versions,adapters,callers,priority,replica_cap,min_replicas,"
            + "cold_start_weight,max_deadline_ms\n";
    private static final String PREAMBLE = VERSION_LINE + HEADER;
    private static final String DEPOSITS = "deposits,reason,2;1,ar;en,desk,0,3,1,60.5,30000\n";
    private static final String DISPUTES = "disputes,reason,2,,mediation;desk,5,3,0,10,60000\n";

    @Test
    void exportedSheetReadsBackUnchanged() {
        Sheet sheet = accepted(PREAMBLE + DEPOSITS + DISPUTES);
        FleetConfiguration configuration = FleetConfiguration.empty().withDeployments(sheet.deployments());
        Sheet reread = accepted(SheetWriter.write(configuration));
        assertEquals(1, reread.exportedFromVersion());
        assertEquals(sheet.deployments(), reread.deployments());
    }

    @Test
    void acceptsByteOrderMarkPaddingCommasAndBlankRows() {
        String spreadsheet = "\uFEFF"
                + (VERSION_LINE.strip() + ",,,,,,,,,\n" + HEADER + DEPOSITS + "\n,,,,,,,,,\n" + DISPUTES)
                        .replace("\n", "\r\n");
        assertEquals(
                accepted(PREAMBLE + DEPOSITS + DISPUTES).deployments(),
                accepted(spreadsheet).deployments());
    }

    @Test
    void eachMalformedSheetGivesExactlyOneError() {
        StringBuilder table = new StringBuilder();
        malformedSheets()
                .forEach((name, bytes) -> table.append(name)
                        .append("\n  ")
                        .append(onlyError(bytes))
                        .append('\n'));
        Approvals.verify(table);
    }

    @Test
    void everyWrongCellIsListed() {
        SheetResult result =
                SheetReader.read(utf8(PREAMBLE + "a b,reason,1,,desk,x,3,1,1,1000\n" + "c,d,1,,desk,1,-3,0,1,0\n"));
        assertEquals(
                4, assertInstanceOf(SheetResult.Rejected.class, result).errors().size());
    }

    private static Map<String, byte[]> malformedSheets() {
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        sheets.put("empty file", utf8(""));
        sheets.put("only blanks", utf8(" \n\n"));
        sheets.put("no version", utf8(HEADER + DEPOSITS));
        sheets.put("version is no number", utf8("# exported_from: seven\n" + HEADER + DEPOSITS));
        sheets.put("no header", utf8(VERSION_LINE));
        sheets.put("no rows", utf8(PREAMBLE));
        sheets.put("unknown column", utf8(VERSION_LINE + HEADER.replace("replica_cap", "replica_cpa") + DEPOSITS));
        sheets.put("missing column", utf8(VERSION_LINE + HEADER.replace(",priority", "") + DEPOSITS));
        sheets.put("column twice", utf8(VERSION_LINE + HEADER.replace("priority", "model") + DEPOSITS));
        sheets.put(
                "separated by semicolons", utf8(VERSION_LINE + HEADER.replace(',', ';') + DEPOSITS.replace(',', ';')));
        sheets.put("cell too many", utf8(PREAMBLE + DEPOSITS.replace("\n", ",x\n")));
        sheets.put("row cut off", utf8(PREAMBLE + "deposits,reason,2\n"));
        sheets.put("quote left open", utf8(PREAMBLE + "\"deposits,reason,2\n" + DISPUTES));
        sheets.put("text for a number", utf8(PREAMBLE + DEPOSITS.replace(",0,3,", ",high,3,")));
        sheets.put("decimal comma", utf8(PREAMBLE + DEPOSITS.replace("60.5", "\"60,5\"")));
        sheets.put("number for a name", utf8(PREAMBLE + DEPOSITS.replace("reason", "reason@2")));
        sheets.put("negative cap", utf8(PREAMBLE + DEPOSITS.replace(",0,3,", ",0,-3,")));
        sheets.put("cap beyond any fleet", utf8(PREAMBLE + DEPOSITS.replace(",0,3,", ",0,99999999999,")));
        sheets.put("cap below what the deployment needs", utf8(PREAMBLE + DEPOSITS.replace(",3,1,", ",3,4,")));
        sheets.put("no caller", utf8(PREAMBLE + DEPOSITS.replace("desk", "")));
        sheets.put("version twice", utf8(PREAMBLE + DEPOSITS.replace("2;1", "2;2")));
        sheets.put("duplicate row", utf8(PREAMBLE + DEPOSITS + DEPOSITS));
        sheets.put("two versions of one row", utf8(PREAMBLE + DEPOSITS + DEPOSITS.replace("60.5", "61")));
        sheets.put("two caps of one model", utf8(PREAMBLE + DEPOSITS + DISPUTES.replace(",5,3,", ",5,2,")));
        sheets.put("Latin-1", (PREAMBLE + DEPOSITS.replace("desk", "büro")).getBytes(StandardCharsets.ISO_8859_1));
        sheets.put("UTF-16", (PREAMBLE + DEPOSITS).getBytes(Charset.forName("UTF-16")));
        sheets.put("huge", new byte[SheetReader.MAX_BYTES + 1]);
        return sheets;
    }

    private static String onlyError(byte[] bytes) {
        SheetResult.Rejected rejected = assertInstanceOf(SheetResult.Rejected.class, SheetReader.read(bytes));
        assertEquals(1, rejected.errors().size(), rejected.errors().toString());
        return rejected.errors().get(0).message();
    }

    private static Sheet accepted(String text) {
        return assertInstanceOf(SheetResult.Accepted.class, SheetReader.read(utf8(text)))
                .sheet();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
