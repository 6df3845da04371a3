package io.persimmonstack.ctl.sheet;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.Arrays;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes a configuration as a sheet that {@link SheetReader} reads back to the same deployments. */
public final class SheetWriter {
    private static final CSVFormat FORMAT =
            CSVFormat.RFC4180.builder().setRecordSeparator('\n').get();

    private SheetWriter() {}

    /**
     * Writes the deployments of a configuration as a sheet.
     *
     * @param configuration configuration to write
     * @return text of the sheet, headed by the version of the configuration
     */
    public static String write(FleetConfiguration configuration) {
        StringBuilder text = new StringBuilder("# exported_from: " + configuration.version() + "\n");
        try (CSVPrinter printer = new CSVPrinter(text, FORMAT)) {
            printer.printRecord(SheetColumn.titles());
            for (Deployment deployment : configuration.deployments()) {
                printer.printRecord(Arrays.stream(SheetColumn.values()).map(column -> cellText(deployment, column)));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a StringBuilder failed", e);
        }
        return text.toString();
    }

    /** Returns the text of one cell, as {@link #write} writes it. */
    static String cellText(Deployment deployment, SheetColumn column) {
        return switch (column) {
            case DEPLOYMENT -> deployment.name();
            case MODEL -> deployment.model();
            case VERSIONS -> String.join(";", deployment.versions());
            case ADAPTERS -> String.join(";", deployment.adapters());
            case CALLERS -> String.join(";", deployment.callers());
            case PRIORITY -> Integer.toString(deployment.priority());
            case REPLICA_CAP -> Integer.toString(deployment.replicaCap());
            case MIN_REPLICAS -> Integer.toString(deployment.minReplicas());
            case COLD_START_WEIGHT -> plainDecimal(deployment.coldStartWeight());
            case MAX_DEADLINE_MS -> Integer.toString(deployment.maxDeadlineMs());
        };
    }

    private static String plainDecimal(double value) {
        BigDecimal decimal = BigDecimal.valueOf(value).stripTrailingZeros();
        return decimal.toPlainString();
    }
}
