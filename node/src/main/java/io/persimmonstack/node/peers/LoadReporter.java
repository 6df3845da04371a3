package io.persimmonstack.node.peers;

import io.persimmonstack.coordination.cap.ClockReading;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Leader;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Reports this node's load to the leader periodically and applies the runner states in the leader's answers. */
public final class LoadReporter implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(LoadReporter.class);
    /** Interval of reports while no request is queued. */
    private static final int IDLE_INTERVAL_MS = 250;
    /** Interval of reports while requests are queued or an answer is needed. */
    private static final int QUEUED_INTERVAL_MS = 50;

    /** Pause after each report, which limits the rate if requests are queued continually. */
    private static final int MIN_INTERVAL_MS = 10;

    private static final int CALL_TIMEOUT_MS = 500;
    /** Time without an answer after which the leader counts as silent. */
    private static final long SILENT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final String node;
    private final FleetView fleet;
    private final Placer placer;
    private final LeaderHandler localLeader;
    private final ThriftPeers<NodeLink.Client> peers;
    private final LoadExtension extension;
    private final WakeableThread thread = WakeableThread.of("load-reporter", this::intervalMs, this::run);
    private SnapshotDeltas.AnswerId acknowledged = SnapshotDeltas.AnswerId.NONE;
    private long sequence;
    private volatile long lastAnswerNanos;
    private volatile boolean answered;
    private boolean leaderSilent = true;

    private LoadReporter(
            String node,
            FleetView fleet,
            Placer placer,
            LeaderHandler localLeader,
            ThriftPeers<NodeLink.Client> peers,
            LoadExtension extension) {
        this.extension = extension;
        this.node = node;
        this.fleet = fleet;
        this.placer = placer;
        this.localLeader = localLeader;
        this.peers = peers;
    }

    /**
     * Starts a thread that reports until the reporter is closed.
     *
     * @param node name of this node
     * @param fleet view of the fleet, which names the leader
     * @param placer source of this node's load and receiver of the runner states
     * @param localLeader receives the reports while this node is the leader
     * @param peers connections to other nodes
     * @param extension adds to the reports and takes its part of the answers
     */
    public static LoadReporter start(
            String node,
            FleetView fleet,
            Placer placer,
            LeaderHandler localLeader,
            ThriftPeers<NodeLink.Client> peers,
            LoadExtension extension) {
        LoadReporter reporter = new LoadReporter(node, fleet, placer, localLeader, peers, extension);
        placer.onQueued(reporter.thread::wake);
        reporter.thread.start();
        return reporter;
    }

    private int intervalMs() {
        return placer.queuedCount() > 0 || extension.needsAnswer() ? QUEUED_INTERVAL_MS : IDLE_INTERVAL_MS;
    }

    private void run() throws InterruptedException {
        report();
        placer.retryQueued();
        TimeUnit.MILLISECONDS.sleep(MIN_INTERVAL_MS);
    }

    private void report() {
        Optional<Leader> leader = fleet.current().leader();
        if (leader.isEmpty()) {
            checkSilence("-", "no leader");
            return;
        }
        NodeLoad load = LoadMessages.toNodeLoad(node, ++sequence, fleet, acknowledged, placer.drainLoad());
        PaceMessages.addTo(load, placer.paces().drain(System.nanoTime()));
        ClockReading sent = ClockReading.now();
        extension.prepareReport(load, sent);
        try {
            FleetLoad answer = exchange(leader.get(), load);
            extension.applyAnswer(answer, sent);
            apply(answer);
        } catch (WireException | WireRefusal e) {
            checkSilence(leader.get().node(), e.toString());
        }
    }

    private FleetLoad exchange(Leader leader, NodeLoad load) throws WireException, WireRefusal {
        if (leader.node().equals(node)) {
            return localLeader.exchange(load);
        }
        return peers.call(leader.linkAddress(), CALL_TIMEOUT_MS, client -> client.exchange(load));
    }

    private void apply(FleetLoad answer) {
        lastAnswerNanos = System.nanoTime();
        answered = true;
        leaderSilent = false;
        fleet.updateSilentNodes(new HashSet<>(answer.getSilentNodes()));
        fleet.recordLeaving(LoadMessages.leaving(answer), "leader");
        boolean allApplied = placer.applySnapshots(LoadMessages.snapshots(answer));
        placer.applyPaces(PaceMessages.paces(answer), answer.getTerm() != acknowledged.term());
        acknowledged = allApplied ? LoadMessages.answerId(answer) : SnapshotDeltas.AnswerId.NONE;
        placer.applyModelArrivals(LoadMessages.arrivals(answer));
    }

    /** Returns the age of the last answer of a leader, in milliseconds; empty if none has answered. */
    public OptionalLong lastAnswerAgeMs() {
        return answered
                ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastAnswerNanos))
                : OptionalLong.empty();
    }

    /** Discards the leader's snapshots once it has not answered for a while. */
    private void checkSilence(String leader, String cause) {
        if (!leaderSilent && System.nanoTime() - lastAnswerNanos > SILENT_AFTER_NANOS) {
            leaderSilent = true;
            LOG.write(NodeEvent.LEADER_SILENT, leader, cause);
            fleet.updateSilentNodes(leader.equals(node) ? Set.of() : Set.of(leader));
            acknowledged = SnapshotDeltas.AnswerId.NONE;
            placer.discardSnapshots();
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}
