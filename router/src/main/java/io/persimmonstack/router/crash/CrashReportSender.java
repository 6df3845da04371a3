package io.persimmonstack.router.crash;

import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Sends this node's reports about runners that ended to other nodes, which pass them on once. Thread-safe. */
public final class CrashReportSender implements AutoCloseable {
    /** Number of nodes that a report is sent to; each of them passes it on to as many. */
    static final int FANOUT = 8;

    /** Interval at which old observations are dropped. */
    private static final int IDLE_INTERVAL_MS = 1_000;
    /** Pause after each report, in which further observations gather. */
    private static final int MIN_INTERVAL_MS = 100;

    private static final int MAX_PASSED_ON = 1_024;

    private final String node;
    private final Supplier<Map<String, PeerAddress>> nodes;
    private final PartGuard guard;
    private final Transport transport;
    private final Consumer<CrashReport> onOwnReport;
    private final Queue<CrashReport> passedOn = new ArrayBlockingQueue<>(MAX_PASSED_ON);
    private final WakeableThread thread = WakeableThread.of("crash-reports", () -> IDLE_INTERVAL_MS, this::run);

    /** Sends reports to one node. */
    public interface Transport {
        /**
         * Sends reports and waits until they have been taken.
         *
         * @throws WireException if the node did not take them
         */
        void send(PeerAddress address, List<CrashReportRecord> reports) throws WireException;

        /** Called after a failure; the node may hear of the reports from others. */
        void failed(String node, int reports, WireException cause);
    }

    private CrashReportSender(
            String node,
            Supplier<Map<String, PeerAddress>> nodes,
            PartGuard guard,
            Transport transport,
            Consumer<CrashReport> onOwnReport) {
        this.node = node;
        this.nodes = nodes;
        this.guard = guard;
        this.transport = transport;
        this.onOwnReport = onOwnReport;
    }

    /**
     * Returns a sender that is not started.
     *
     * @param node name of this node
     * @param nodes returns the addresses of the nodes by name
     * @param guard makes the reports
     * @param transport sends them
     * @param onOwnReport receives each report of this node, to be kept elsewhere, too; must not block
     */
    public static CrashReportSender of(
            String node,
            Supplier<Map<String, PeerAddress>> nodes,
            PartGuard guard,
            Transport transport,
            Consumer<CrashReport> onOwnReport) {
        return new CrashReportSender(node, nodes, guard, transport, onOwnReport);
    }

    /** Starts a thread that sends reports until the sender is closed. */
    public void start() {
        thread.start();
    }

    /** Sends the report that is due, soon. Never blocks. */
    public void wake() {
        thread.wake();
    }

    /** Takes reports that another node sends, and passes on those that are new here. */
    public void receive(List<CrashReportRecord> messages) {
        for (CrashReportRecord message : messages) {
            CrashReport report = CrashReportMessages.fromMessage(message);
            if (guard.merge(report) && passedOn.offer(report)) {
                thread.wake();
            }
        }
    }

    private void run() throws InterruptedException {
        guard.expire();
        List<CrashReport> reports = new ArrayList<>();
        Optional<CrashReport> own = guard.takeDueReport();
        own.ifPresent(reports::add);
        for (CrashReport report = passedOn.poll(); report != null; report = passedOn.poll()) {
            reports.add(report);
        }
        if (reports.isEmpty()) {
            return;
        }
        send(reports);
        own.ifPresent(onOwnReport);
        TimeUnit.MILLISECONDS.sleep(MIN_INTERVAL_MS);
    }

    private void send(List<CrashReport> reports) {
        List<CrashReportRecord> messages =
                reports.stream().map(CrashReportMessages::toMessage).toList();
        Map<String, PeerAddress> addresses = nodes.get();
        receivers(node, addresses.keySet())
                .forEach(name ->
                        Thread.ofVirtual().name("crash-report").start(() -> send(name, addresses.get(name), messages)));
    }

    /** Returns the nodes that a node sends to: all others in a small fleet, otherwise those that rank first for it. */
    static List<String> receivers(String node, Set<String> listed) {
        Set<String> others = new HashSet<>(listed);
        others.remove(node);
        return RendezvousHash.ranked(node, others).stream().limit(FANOUT).toList();
    }

    private void send(String name, PeerAddress address, List<CrashReportRecord> messages) {
        try {
            transport.send(address, messages);
        } catch (WireException e) {
            transport.failed(name, messages.size(), e);
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}
