package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.policy.ModelCost;
import io.persimmonstack.runtime.TextTable;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Busy hours of a generated day, compressed in time. The same trace is sent to real processes and replayed in a
 * simulation, so that both can be compared.
 */
public final class CompressedTrace {
    private static final long HOUR_MS = 3_600_000;
    /** Hour of the generated day with which the compressed trace starts. */
    private static final int FIRST_BUSY_HOUR = 9;

    private static final int TRACE_DAYS = 1;
    private static final double MS_PER_SECOND = 1_000.0;
    private static final double SECONDS_PER_HOUR = 3_600;
    private static final double P50 = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    /**
     * Request of the compressed trace.
     *
     * @param atMs time of arrival after compression, in milliseconds from the start
     * @param modelIndex index of the requested model, from 0
     */
    public record Request(long atMs, int modelIndex) {}

    private final Trace trace;

    private CompressedTrace(Trace trace) {
        this.trace = trace;
    }

    /**
     * Generates a trace; the same arguments give the same trace.
     *
     * @param models number of models, requested with Zipf-distributed popularity
     * @param sessionsPerHour sessions an hour over all models, before compression
     * @param compression factor by which arrival times and durations are shortened
     * @param durationMs length after compression, in milliseconds
     * @param seed seed of the random generator
     * @return the trace
     */
    public static CompressedTrace generate(
            int models, int sessionsPerHour, int compression, long durationMs, long seed) {
        Fleet fleet = new Fleet("compressed", models, models, sessionsPerHour, 0, TRACE_DAYS);
        List<Arrival> arrivals = TraceGenerator.generate(fleet, seed).arrivals().stream()
                .map(arrival -> new Arrival(
                        (arrival.atMs() - FIRST_BUSY_HOUR * HOUR_MS) / compression,
                        arrival.modelIndex(),
                        Math.max(1, arrival.durationMs() / compression)))
                .filter(arrival -> arrival.atMs() >= 0 && arrival.atMs() < durationMs)
                .toList();
        return new CompressedTrace(new Trace(fleet, List.of(), arrivals, durationMs));
    }

    /** Returns the requests in the order of arrival. */
    public List<Request> requests() {
        return trace.arrivals().stream()
                .map(arrival -> new Request(arrival.atMs(), arrival.modelIndex()))
                .toList();
    }

    /**
     * Replays the trace through the keep-alive policies, with one accelerator for each model.
     *
     * @param loadMs duration of a load, in milliseconds
     * @param coldStartWeight idle accelerator seconds that cost as much as one second of cold start
     * @return a table with one line for each policy
     */
    public String replay(long loadMs, double coldStartWeight) {
        ModelCost cost = new ModelCost(1, loadMs, coldStartWeight);
        List<ReplayModel> models = IntStream.range(0, trace.fleet().models())
                .mapToObj(modelIndex -> new ReplayModel("model-" + modelIndex, cost))
                .toList();
        Trace traceWithModels = new Trace(trace.fleet(), models, trace.arrivals(), trace.endMs());
        TextTable table =
                TextTable.of("REPLAY", "REQUESTS", "LOADS", "WAIT P50 MS", "P95 MS", "P99 MS", "IDLE REPLICA SECONDS");
        List.of(
                        new ReplayPolicy.KeepAlive("adaptive", KeepAlivePolicy.adaptive()),
                        fixedKeepAlive(10),
                        fixedKeepAlive(40),
                        new ReplayPolicy.LeastRecentlyUsed("never unload"),
                        new ReplayPolicy.Clairvoyant("clairvoyant", false))
                .forEach(policy -> addRow(table, PolicyReplay.run(traceWithModels, policy)));
        return table.text();
    }

    private static ReplayPolicy fixedKeepAlive(long seconds) {
        return new ReplayPolicy.KeepAlive("fixed " + seconds + " s", KeepAlivePolicy.fixed(seconds * 1_000));
    }

    private static void addRow(TextTable table, ReplayResult result) {
        table.row(
                result.policy(),
                result.requests(),
                result.loads(),
                (long) (result.coldStartSeconds(P50) * MS_PER_SECOND),
                (long) (result.coldStartSeconds(P95) * MS_PER_SECOND),
                (long) (result.coldStartSeconds(P99) * MS_PER_SECOND),
                String.format(Locale.ROOT, "%.0f", result.idleAcceleratorHours() * SECONDS_PER_HOUR));
    }
}
