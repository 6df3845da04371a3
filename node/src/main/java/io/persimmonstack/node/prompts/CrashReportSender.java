package io.persimmonstack.node.prompts;

import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.coordination.hash.RendezvousHash;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.WakeableThread;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.store.StoredValue;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.NodeLink;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Sends this node's reports to other nodes, which pass them on once, and writes them to the store, where they outlive
 * all nodes. Either way suffices while the other one is cut.
 */
public final class CrashReportSender implements AutoCloseable {
    /** Number of nodes that a report is sent to; each of them passes it on to as many. */
    static final int FANOUT = 8;

    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(CrashReportSender.class));
    private static final int CONNECT_TIMEOUT_MS = 200;
    private static final int CALL_TIMEOUT_MS = 300;
    /** Interval at which old observations are dropped. */
    private static final int IDLE_INTERVAL_MS = 1_000;
    /** Pause after each report, in which further observations gather. */
    private static final int MIN_INTERVAL_MS = 100;

    private static final int MAX_PASSED_ON = 1_024;

    private final String node;
    private final FleetView fleet;
    private final PromptGuard guard;
    private final StoredValue storedReport;
    private final Queue<CrashReport> passedOn = new ArrayBlockingQueue<>(MAX_PASSED_ON);
    private final WakeableThread thread = WakeableThread.of("crash-reports", () -> IDLE_INTERVAL_MS, this::run);
    private final Closer closer = Closer.create();
    private final ThriftPeers<NodeLink.Client> links;

    private CrashReportSender(String node, FleetView fleet, PromptGuard guard, StoredValue storedReport) {
        this.node = node;
        this.fleet = fleet;
        this.guard = guard;
        this.storedReport = storedReport;
        this.links = closer.add(ThriftPeers.of(new NodeLink.Client.Factory(), CONNECT_TIMEOUT_MS));
    }

    /**
     * Starts a thread that sends reports until the sender is closed.
     *
     * @param node name of this node
     * @param fleet lists the other nodes
     * @param guard makes the reports
     * @param storedReport this node's report in the store
     */
    public static CrashReportSender start(String node, FleetView fleet, PromptGuard guard, StoredValue storedReport) {
        CrashReportSender sender = new CrashReportSender(node, fleet, guard, storedReport);
        guard.onReportDue(sender.thread::wake);
        sender.thread.start();
        sender.closer.add(sender.thread);
        return sender;
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
        if (!reports.isEmpty()) {
            send(reports);
        }
        own.ifPresent(report -> storedReport.write(CrashReportMessages.encode(report)));
        if (!reports.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(MIN_INTERVAL_MS);
        }
    }

    private void send(List<CrashReport> reports) {
        List<CrashReportRecord> messages =
                reports.stream().map(CrashReportMessages::toMessage).toList();
        Map<String, Peer> peers = fleet.current().peers();
        receivers(node, peers.keySet())
                .forEach(name -> Thread.ofVirtual().name("crash-report").start(() -> send(messages, peers.get(name))));
    }

    /** Returns the nodes that a node sends to: all others in a small fleet, otherwise those that rank first for it. */
    static List<String> receivers(String node, Set<String> listed) {
        Set<String> others = new HashSet<>(listed);
        others.remove(node);
        return RendezvousHash.ranked(node, others).stream().limit(FANOUT).toList();
    }

    private void send(List<CrashReportRecord> messages, Peer peer) {
        try {
            links.call(peer.linkAddress(), CALL_TIMEOUT_MS, client -> {
                client.keepCrashReports(messages);
                return true;
            });
        } catch (WireException e) {
            LOG.write(NodeEvent.CRASH_REPORT_NOT_SENT, peer.node(), messages.size(), e.toString());
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
