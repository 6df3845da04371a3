package io.persimmonstack.node.caps;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.coordination.cap.CapShare;
import io.persimmonstack.coordination.cap.ClockReading;
import io.persimmonstack.coordination.cap.HeldSlots;
import io.persimmonstack.coordination.cap.SlotHolder;
import io.persimmonstack.coordination.cap.SlotTable;
import io.persimmonstack.coordination.cap.TokenTaker;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.config.RoutingTable;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.node.peers.LoadExtension;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.TokenGrant;
import io.persimmonstack.wire.gen.TokenRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/**
 * Usage caps at one node: holds slots, takes tokens from the holders for its own requests, and assigns the slots while
 * it leads. Thread-safe.
 *
 * <pre>{@code
 * UsageCaps caps = closer.add(UsageCaps.create("n1", startedMs, bounds, source, fleet, registry));
 * caps.startLeading(store, session::leadTerm);
 * AdmittedTokens tokens = caps.admission().admit(workspace, request);
 * }</pre>
 */
public final class UsageCaps implements LoadExtension, AutoCloseable {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(UsageCaps.class));
    /** Timeout of a request for tokens, and of the connection for it: the caller waits meanwhile. */
    private static final int CALL_TIMEOUT_MS = 150;

    /** Time after which a node releases slots beyond its part, so that others that have started meanwhile get them. */
    private static final long SURPLUS_HELD_MS = 5_000;

    private final String node;
    private final long startedMs;
    private final CapBounds bounds;
    private final CapSource source;
    private final FleetView fleet;
    private final MetricRegistry registry;
    private final CapShares shares;
    private final HeldSlots held;
    private final TokenTaker taker;
    private final ThriftPeers<NodeLink.Client> links = ThriftPeers.of(new NodeLink.Client.Factory(), CALL_TIMEOUT_MS);
    private final CountDownLatch tableKnown = new CountDownLatch(1);
    private volatile SlotTable table = SlotTable.NONE;
    private volatile Optional<SlotLeader> leader = Optional.empty();

    private UsageCaps(
            String node, long startedMs, CapBounds bounds, CapSource source, FleetView fleet, MetricRegistry registry) {
        this.node = node;
        this.startedMs = startedMs;
        this.bounds = bounds;
        this.source = source;
        this.fleet = fleet;
        this.registry = registry;
        this.shares = new CapShares(source, bounds);
        this.held = new HeldSlots(node, startedMs);
        this.taker = new TokenTaker(bounds, this::ask, this::isSelf, ClockReading::now, new Random());
    }

    /**
     * Creates the caps of a node that holds no slots.
     *
     * @param node name of the node
     * @param startedMs start time of this process, in Unix milliseconds
     * @param bounds bound on the usage of a workspace
     * @param source caps of the configuration
     * @param fleet provides the addresses of other nodes
     * @param registry receives the metrics
     */
    public static UsageCaps create(
            String node, long startedMs, CapBounds bounds, CapSource source, FleetView fleet, MetricRegistry registry) {
        UsageCaps caps = new UsageCaps(node, startedMs, bounds, source, fleet, registry);
        registry.gauge("caps.slots-held", () -> caps::heldCount);
        return caps;
    }

    /**
     * Assigns slots whenever this node leads.
     *
     * @param store store that has the table of slots
     * @param leadTerm returns the term of this node's leadership, empty while it is not the leader
     */
    public void startLeading(KvStore store, Supplier<OptionalLong> leadTerm) {
        leader = Optional.of(SlotLeader.start(
                store, leadTerm, source, bounds, () -> fleet.current().peers().size()));
    }

    /** Returns what admits requests. */
    public CapAdmission admission() {
        return new CapAdmission(shares, taker, tableKnown, bounds.maxWaitMs());
    }

    /** Returns the number of slots by which this node may grant tokens now. */
    public int heldCount() {
        synchronized (held) {
            return held.held(ClockReading.now()).size();
        }
    }

    /** Gives up all slots for good, since this node stops; the leader hears of it with the next report. */
    public void release() {
        synchronized (held) {
            held.releaseAll();
        }
    }

    @Override
    public boolean needsAnswer() {
        return tableKnown.getCount() > 0 && source.hasCaps();
    }

    @Override
    public void prepareReport(NodeLoad load, ClockReading sent) {
        if (!source.hasCaps()) {
            return;
        }
        load.setStartedMs(startedMs);
        load.setCapTableTerm(table.term());
        load.setCapTableNumber(table.number());
        int nodes = Math.max(1, fleet.current().peers().size());
        synchronized (held) {
            held.releaseSurplus((CapShare.SLOTS + nodes - 1) / nodes, SURPLUS_HELD_MS, sent);
            load.setReleasedSlots(CapMessages.toMessages(held.released()));
            load.setTakesNoSlots(held.isLeaving());
            load.setHeldSlots(CapMessages.toMessages(held.held(sent)));
        }
    }

    @Override
    public void applyAnswer(FleetLoad answer, ClockReading sent) {
        if (!answer.isSetCapSlots() && !answer.isSetCapSlotsValidMs()) {
            return;
        }
        if (answer.isSetCapSlots()) {
            table = CapMessages.fromMessage(answer.getCapSlots());
        }
        OptionalLong validMs =
                answer.isSetCapSlotsValidMs() ? OptionalLong.of(answer.getCapSlotsValidMs()) : OptionalLong.empty();
        synchronized (held) {
            held.update(table, sent, validMs, ClockReading.now());
        }
        taker.updateTable(table);
        tableKnown.countDown();
    }

    @Override
    public void exchange(long term, NodeLoad load, FleetLoad answer) {
        if (source.hasCaps()) {
            leader.ifPresent(present -> present.exchange(term, load, answer));
        }
    }

    /** Answers a request of another node for tokens of a slot that this node holds. */
    public TokenGrant takeTokens(TokenRequest request) {
        registry.counter("caps.asked").inc();
        Optional<CapShare> share = shares.shareOf(request.getWorkspace());
        if (share.isEmpty()) {
            return CapMessages.toMessage(new HeldSlots.Answer.NotHeld(), 0);
        }
        ClockReading now = ClockReading.now();
        synchronized (held) {
            if (request.isSetReturns() && request.getHolderStartedMs() == startedMs) {
                request.getReturns()
                        .forEach(batch -> held.giveBack(
                                request.getWorkspace(), batch.getSlot(), batch.getStamp(), batch.getTokens(), now));
            }
            HeldSlots.Answer answer =
                    held.take(request.getWorkspace(), share.get(), request.getNeeded(), request.getAhead(), now);
            return CapMessages.toMessage(answer, bounds.grantMs());
        }
    }

    private boolean isSelf(SlotHolder holder) {
        return holder.isProcess(node, startedMs);
    }

    private HeldSlots.Answer ask(SlotHolder holder, TokenTaker.Question question) {
        return isSelf(holder) ? askSelf(question) : askPeer(holder, question);
    }

    private HeldSlots.Answer askSelf(TokenTaker.Question question) {
        ClockReading now = ClockReading.now();
        synchronized (held) {
            question.returns()
                    .forEach(batch ->
                            held.giveBack(question.workspace(), batch.slot(), batch.stamp(), batch.tokens(), now));
            return held.take(question.workspace(), question.share(), question.need(), question.ahead(), now);
        }
    }

    private HeldSlots.Answer askPeer(SlotHolder holder, TokenTaker.Question question) {
        Peer peer = fleet.current().peers().get(holder.node());
        if (peer == null || peer.startedMs() != holder.startedMs()) {
            registry.counter("caps.holders-unlisted").inc();
            return new HeldSlots.Answer.NotHeld();
        }
        long version = fleet.current().routing().map(RoutingTable::version).orElse(0L);
        TokenRequest request = CapMessages.toMessage(holder, question, version);
        registry.counter("caps.calls").inc();
        try {
            TokenGrant grant = links.call(peer.linkAddress(), CALL_TIMEOUT_MS, client -> client.takeTokens(request));
            return CapMessages.fromMessage(holder, grant);
        } catch (WireException e) {
            registry.counter("caps.calls-failed").inc();
            LOG.write(NodeEvent.CAP_HOLDER_SILENT, holder.node(), question.workspace(), e.getMessage());
            return new HeldSlots.Answer.NotHeld();
        }
    }

    @Override
    public void close() {
        leader.ifPresent(SlotLeader::close);
        links.close();
    }
}
