package io.persimmonstack.load;

import io.persimmonstack.runtime.TextTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.LongAdder;

/** Report of one run: tables of outcomes and loads, and the guarantees that were violated. */
final class LoadReport {
    private static final double P50 = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;
    private static final long MS_PER_SECOND = 1_000;
    private final LoadResult result;
    private final LedgerSummary ledger;
    private final Map<String, Integer> replicaCaps;
    private final boolean routersMayDie;

    private LoadReport(
            LoadResult result, LedgerSummary ledger, Map<String, Integer> replicaCaps, boolean routersMayDie) {
        this.result = result;
        this.ledger = ledger;
        this.replicaCaps = Map.copyOf(replicaCaps);
        this.routersMayDie = routersMayDie;
    }

    /**
     * Creates a report from the outcomes seen by the callers and the ledgers of the stand-ins.
     *
     * @param result outcomes seen by the callers
     * @param ledger aggregated ledgers of the stand-ins
     * @param replicaCaps replica caps by model; a model without an entry is not checked
     * @param routersMayDie whether routers are killed during the run, so that dropped requests are no violations
     * @return the report
     */
    static LoadReport of(
            LoadResult result, LedgerSummary ledger, Map<String, Integer> replicaCaps, boolean routersMayDie) {
        return new LoadReport(result, ledger, replicaCaps, routersMayDie);
    }

    /** Returns one line for each violated guarantee; empty if all guarantees held. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        violations.addAll(violationsOf("cold", result.cold()));
        violations.addAll(violationsOf("warm", result.warm()));
        violations.addAll(violationsOf("calls", result.serviceCalls()));
        if (!falselyRefusedIds().isEmpty()) {
            violations.add(falselyRefusedIds().size() + " refused as not run had run, such as "
                    + falselyRefusedIds().iterator().next());
        }
        ledger.peakReplicasByModel().forEach((model, peak) -> {
            if (peak > replicaCaps.getOrDefault(model, Integer.MAX_VALUE)) {
                violations.add(peak + " replicas of " + model + " at once, cap " + replicaCaps.get(model));
            }
        });
        if (ledger.loadsBeyondMemory() > 0) {
            violations.add(ledger.loadsBeyondMemory() + " loads ordered beyond the memory of an engine");
        }
        violations.addAll(ledger.violations());
        ledger.unreadableLedgers()
                .forEach(address -> violations.add("the ledger of " + address + " could not be read"));
        return violations;
    }

    private List<String> violationsOf(String kind, RequestStatistics statistics) {
        List<String> violations = new ArrayList<>();
        if (statistics.incorrect() > 0) {
            violations.add(statistics.incorrect() + " wrong answers (" + kind + ")");
        }
        if (statistics.dropped() > 0 && !routersMayDie) {
            violations.add(statistics.dropped() + " requests dropped (" + kind + ")");
        }
        if (statistics.notSent() > 0) {
            violations.add(statistics.notSent() + " requests found no router (" + kind + ")");
        }
        return violations;
    }

    /** Returns the requests that ran although their refusal stated that they did not. */
    private Set<String> falselyRefusedIds() {
        Set<String> falselyRefused = result.refusedAsNotRun();
        falselyRefused.retainAll(ledger.executedRequestIds());
        return falselyRefused;
    }

    /** Returns the text that is printed; scripts in build/bench parse its rows. */
    String render() {
        StringBuilder text = new StringBuilder(requestTable());
        text.append('\n').append(refusalTable());
        text.append('\n').append(loadTable());
        text.append("\nrefused as not run, but ran: ")
                .append(falselyRefusedIds().size());
        text.append("\nkeys last refused as not run, but run by an earlier request without answer: ")
                .append(result.countKeysFalselyRefused(ledger.executedRequestIds()));
        text.append("\nloads beyond memory: ").append(ledger.loadsBeyondMemory());
        text.append(", orders fenced off: ").append(ledger.ordersFenced());
        text.append("\nidle replica seconds: ").append(ledger.idleReplicaMs() / MS_PER_SECOND);
        ledger.weightStore().ifPresent(peak -> text.append("\nweight store: ").append(weightStoreLine(peak)));
        text.append("\nnot sent, too many in flight: ").append(result.skippedRequests());
        List<String> violations = violations();
        text.append("\npromises broken: ")
                .append(violations.isEmpty() ? "none" : "")
                .append('\n');
        violations.forEach(line -> text.append("  ").append(line).append('\n'));
        return text.toString();
    }

    private static String weightStoreLine(LedgerSummary.WeightStorePeak peak) {
        return String.format(
                Locale.ROOT,
                "at most %d checkpoints at once of %d, %d begun in a second of %.1f, %d adapters at once of %d",
                peak.concurrentLoads(),
                peak.fullSpeedLoads(),
                peak.loadsStartedInOneSecond(),
                peak.loadsPerSecondLimit(),
                peak.concurrentAdapters(),
                peak.concurrentAdapterLimit());
    }

    private String requestTable() {
        TextTable table = TextTable.of(
                "REQUESTS",
                "SENT",
                "WHOLE",
                "REFUSED",
                "WRONG",
                "DROPPED",
                "LATE",
                "FIRST BYTE P50 MS",
                "P95 MS",
                "P99 MS");
        addRow(table, "cold bursts", result.cold());
        addRow(table, "warm", result.warm());
        addRow(table, "may not repeat", result.serviceCalls());
        return table.text();
    }

    private static void addRow(TextTable table, String kind, RequestStatistics statistics) {
        table.row(
                kind,
                statistics.requests(),
                statistics.complete(),
                statistics.refused(),
                statistics.incorrect(),
                statistics.dropped() + statistics.notSent(),
                statistics.late(),
                statistics.firstBytePercentileMs(P50),
                statistics.firstBytePercentileMs(P95),
                statistics.firstBytePercentileMs(P99));
    }

    private String refusalTable() {
        TextTable table = TextTable.of("REFUSALS", "COLD", "WARM", "MAY NOT REPEAT");
        Set<String> codes = new TreeSet<>(result.cold().refusals().keySet());
        codes.addAll(result.warm().refusals().keySet());
        codes.addAll(result.serviceCalls().refusals().keySet());
        codes.forEach(code -> table.row(
                code,
                refusalCount(result.cold(), code),
                refusalCount(result.warm(), code),
                refusalCount(result.serviceCalls(), code)));
        return table.text();
    }

    private static String refusalCount(RequestStatistics statistics, String code) {
        return String.valueOf(statistics.refusals().getOrDefault(code, new LongAdder()));
    }

    private String loadTable() {
        TextTable table = TextTable.of("MODEL", "LOADS", "MOST REPLICAS", "CAP");
        ledger.loadsByModel()
                .forEach((model, modelLoads) -> table.row(
                        model,
                        modelLoads,
                        ledger.peakReplicasByModel().get(model),
                        replicaCaps.containsKey(model) ? replicaCaps.get(model) : "-"));
        return table.text();
    }
}
