package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.CapBounds;
import io.persimmonstack.coordination.cap.SlotAssigner;
import io.persimmonstack.coordination.cap.SlotTable;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.runtime.WakeableThread;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLoad;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Assigns slots while this node is the leader. The table of slots is read and written once a term, and written again
 * only when a holder changes; each write is conditional on the table that was read, so that a leader that has been
 * replaced cannot write. Thread-safe.
 */
final class SlotLeader implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(SlotLeader.class);
    private static final int ACTIVE_INTERVAL_MS = 100;
    private static final int IDLE_INTERVAL_MS = 2_000;
    /** Pause after a failed call to the store, since each call is priced. */
    private static final int RETRY_INTERVAL_MS = 300;
    /** Terms are revisions of the store, with the era of the store above these bits. */
    private static final int REVISION_BITS = 40;

    private final KvStore store;
    private final Supplier<OptionalLong> leadTerm;
    private final CapSource caps;
    private final CapBounds bounds;
    private final IntSupplier listedNodes;
    private final WakeableThread thread = WakeableThread.of("cap-slots", this::intervalMs, this::run);
    private Optional<Leadership> leadership = Optional.empty();

    /** Assignment of slots in one term, and what the key in the store is expected to be. */
    private record Leadership(long term, SlotAssigner assigner, Expectation expectation) {}

    private SlotLeader(
            KvStore store, Supplier<OptionalLong> leadTerm, CapSource caps, CapBounds bounds, IntSupplier listedNodes) {
        this.listedNodes = listedNodes;
        this.store = store;
        this.leadTerm = leadTerm;
        this.caps = caps;
        this.bounds = bounds;
    }

    /**
     * Starts a thread that assigns slots whenever this node leads.
     *
     * @param store store that has the table
     * @param leadTerm returns the term of this node's leadership, empty while it is not the leader
     * @param caps tells whether slots are needed
     * @param bounds tell for how long a holder may go on without an answer
     * @param listedNodes returns the number of nodes that may report
     */
    static SlotLeader start(
            KvStore store, Supplier<OptionalLong> leadTerm, CapSource caps, CapBounds bounds, IntSupplier listedNodes) {
        SlotLeader leader = new SlotLeader(store, leadTerm, caps, bounds, listedNodes);
        leader.thread.start();
        return leader;
    }

    private int intervalMs() {
        return caps.hasCaps() ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS;
    }

    private void run() throws InterruptedException {
        try {
            assign();
        } catch (KvUnavailableException e) {
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        } catch (KvException e) {
            // A write may have taken effect: the next run reads the table again.
            forget();
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        } catch (RuntimeException e) {
            forget();
            LOG.write(NodeEvent.STORE_STEP_FAILED, "slots of usage caps", e.toString(), e);
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        }
    }

    private void assign() throws KvException {
        OptionalLong term = leadTerm.get();
        if (term.isEmpty()) {
            // A term whose lease is renewed in time goes on; another leader would have another term.
            return;
        }
        Optional<Leadership> current = leadershipOf(term.getAsLong());
        if (!caps.hasCaps()) {
            return;
        }
        if (current.isEmpty()) {
            read(term.getAsLong());
            thread.wake();
            return;
        }
        Optional<SlotTable> proposal = propose(current.get());
        if (proposal.isPresent()) {
            write(current.get(), proposal.get());
        }
    }

    private synchronized Optional<Leadership> leadershipOf(long term) {
        leadership = leadership.filter(known -> known.term == term);
        return leadership;
    }

    private synchronized void forget() {
        leadership = Optional.empty();
    }

    private void read(long term) throws KvException {
        long nowNanos = System.nanoTime();
        Optional<KvEntry> entry = store.get(NodeKeys.CAP_SLOTS);
        SlotTable stored = entry.isPresent() ? CapMessages.decode(entry.get().value()) : SlotTable.NONE;
        if (stored.term() > term) {
            return;
        }
        boolean doubtful = stored.term() >> REVISION_BITS != term >> REVISION_BITS;
        SlotAssigner assigner = new SlotAssigner(term, stored, doubtful, nowNanos, bounds);
        Expectation expectation =
                entry.map(known -> Expectation.atRevision(known.revision())).orElseGet(Expectation::absent);
        synchronized (this) {
            leadership = Optional.of(new Leadership(term, assigner, expectation));
        }
    }

    private synchronized Optional<SlotTable> propose(Leadership current) {
        return current.assigner.proposal(Math.max(1, listedNodes.getAsInt()), System.nanoTime());
    }

    private void write(Leadership current, SlotTable proposal) throws KvException {
        switch (store.put(NodeKeys.CAP_SLOTS, CapMessages.encode(proposal), current.expectation)) {
            case WriteOutcome.Applied applied -> {
                synchronized (this) {
                    current.assigner.written(proposal, System.nanoTime());
                    leadership = Optional.of(
                            new Leadership(current.term, current.assigner, Expectation.atRevision(applied.revision())));
                }
                LOG.write(
                        NodeEvent.CAP_SLOTS_ASSIGNED,
                        proposal.term(),
                        proposal.number(),
                        proposal.holders().size(),
                        proposal.holders().values().stream()
                                .map(holder -> holder.node())
                                .distinct()
                                .sorted()
                                .toList());
            }
            case WriteOutcome.Conflict conflict -> forget();
        }
    }

    /**
     * Takes a load report and adds to its answer the table of slots and for how long the process may use its slots.
     *
     * @param term term of this leadership, in which the report was accepted
     * @param load the report
     * @param answer receives the table, unless the node has it
     */
    void exchange(long term, NodeLoad load, FleetLoad answer) {
        if (!load.isSetStartedMs()) {
            return;
        }
        long nowNanos = System.nanoTime();
        synchronized (this) {
            if (leadership.isPresent() && leadership.get().term == term) {
                SlotAssigner assigner = leadership.get().assigner;
                assigner.report(CapMessages.report(load), nowNanos);
                if (assigner.table().isEmpty()) {
                    thread.wake();
                }
                if (assigner.extend(load.getNode(), load.getStartedMs(), nowNanos)) {
                    answer.setCapSlotsValidMs(bounds.rightMs());
                }
                assigner.table()
                        .filter(table -> !table.is(load.getCapTableTerm(), load.getCapTableNumber()))
                        .ifPresent(table -> answer.setCapSlots(CapMessages.toMessage(table)));
                return;
            }
        }
        thread.wake();
    }

    @Override
    public void close() {
        thread.close();
    }
}
