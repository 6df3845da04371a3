package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvLeaseEndedException;
import io.persimmonstack.coordination.kv.Lease;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.fleet.Fleet;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Leader;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Lease of this node in the store, the node's entry under it, and its candidacy for the lead. The lead is held while
 * the lease surely runs: from the time the last renewal that succeeded was sent, less a margin.
 */
public final class StoreSession implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoreSession.class);
    private static final int TTL_MS = 2_500;
    private static final int RENEW_MS = 700;
    private static final int TICK_MS = 100;
    private static final int MARGIN_MS = 400;
    private static final long UNLISTED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final int CANDIDACY_SPREAD_MS = 150;
    private final LeasedKvStore store;
    private final FleetView fleet;
    private final Peer self;
    private final BooleanSupplier ready;
    private final Thread thread = Thread.ofVirtual().name("store-session").unstarted(this::run);
    private volatile boolean registered;
    private volatile long validUntilNanos;
    private volatile OptionalLong term = OptionalLong.empty();
    private volatile boolean leaving;
    private Optional<Lease> lease = Optional.empty();
    private long renewedNanos;
    private long listedNanos;
    private boolean ownTermSeen;

    private StoreSession(LeasedKvStore store, FleetView fleet, Peer self, BooleanSupplier ready) {
        this.store = store;
        this.fleet = fleet;
        this.self = self;
        this.ready = ready;
    }

    /**
     * Starts the session.
     *
     * @param store store of the lease
     * @param fleet tells who leads
     * @param self entry of this node
     * @param ready whether the node can serve, and so may be listed
     */
    public static StoreSession start(LeasedKvStore store, FleetView fleet, Peer self, BooleanSupplier ready) {
        StoreSession session = new StoreSession(store, fleet, self, ready);
        session.thread.start();
        return session;
    }

    /** Returns the term of this node's lead, empty while it does not surely lead. */
    public OptionalLong leadTerm() {
        boolean valid = validUntilNanos - System.nanoTime() > 0;
        return valid && !leaving ? term : OptionalLong.empty();
    }

    /** Returns whether other nodes and callers can find this node. */
    public boolean isRegistered() {
        return registered;
    }

    /** Gives up the lead, for another node has shown a higher term. */
    public void depose(String cause) {
        OptionalLong lost = term;
        term = OptionalLong.empty();
        lost.ifPresent(value -> LOG.write(NodeEvent.DEPOSED, self.node(), value, cause));
    }

    private void run() {
        try {
            while (!leaving) {
                step();
                TimeUnit.MILLISECONDS.sleep(TICK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step() throws InterruptedException {
        try {
            if (lease.isEmpty()) {
                begin();
            } else if (elapsedMs() >= RENEW_MS) {
                renew(lease.get());
            }
            if (lease.isPresent() && !registered && ready.getAsBoolean()) {
                register(lease.get());
            }
            if (registered) {
                checkListed();
                followLead(lease.get());
            }
        } catch (KvLeaseEndedException e) {
            leaseEnded();
        } catch (KvException e) {
            TimeUnit.MILLISECONDS.sleep(TICK_MS);
        }
    }

    private void leaseEnded() {
        lease = Optional.empty();
        registered = false;
        depose("lease ended");
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - renewedNanos);
    }

    private void begin() throws KvException {
        long sentNanos = System.nanoTime();
        Lease granted = store.grant(TTL_MS);
        lease = Optional.of(granted);
        renewed(granted, sentNanos);
    }

    private void renew(Lease current) throws KvException {
        long sentNanos = System.nanoTime();
        if (store.keepAlive(current)) {
            renewed(current, sentNanos);
            return;
        }
        leaseEnded();
    }

    private void renewed(Lease current, long sentNanos) {
        renewedNanos = sentNanos;
        validUntilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(current.ttlMs() - MARGIN_MS);
    }

    private void register(Lease current) throws KvException {
        registered = putOver(NodeKeys.node(self.node()), current).isPresent();
        if (registered) {
            listedNanos = System.nanoTime();
            LOG.write(NodeEvent.REGISTERED, self.node(), current.id());
        }
    }

    /** Writes the entry anew if it has been taken away though the lease runs. */
    private void checkListed() {
        boolean listed = fleet.current().peers().containsKey(self.node());
        if (listed) {
            listedNanos = System.nanoTime();
        } else if (System.nanoTime() - listedNanos > UNLISTED_NANOS) {
            registered = false;
        }
    }

    /** Writes this node's record over whatever the key holds; empty where another writer was faster. */
    private OptionalLong putOver(String key, Lease current) throws KvException {
        Optional<KvEntry> held = store.get(key);
        Expectation expected =
                held.map(entry -> Expectation.atRevision(entry.revision())).orElseGet(Expectation::absent);
        return put(key, current, expected);
    }

    private OptionalLong put(String key, Lease current, Expectation expected) throws KvException {
        WriteOutcome outcome = store.put(key, NodeRecords.encode(self), expected, current);
        return switch (outcome) {
            case WriteOutcome.Applied applied -> OptionalLong.of(applied.revision());
            case WriteOutcome.Conflict conflict -> OptionalLong.empty();
        };
    }

    private void followLead(Lease current) throws KvException, InterruptedException {
        Fleet known = fleet.current();
        Optional<Leader> leader = known.leader();
        if (term.isPresent()) {
            checkLead(term.getAsLong(), leader);
            return;
        }
        boolean earlierSelf =
                leader.filter(other -> other.node().equals(self.node())).isPresent();
        if (leader.isEmpty() && known.isKnown()) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(CANDIDACY_SPREAD_MS));
            if (fleet.current().leader().isEmpty()) {
                elected(put(NodeKeys.LEADER, current, Expectation.absent()));
            }
        } else if (earlierSelf) {
            elected(put(
                    NodeKeys.LEADER,
                    current,
                    Expectation.atRevision(leader.get().term())));
        }
    }

    /** Gives the lead up when the store shows another leader, or none after it has shown this one. */
    private void checkLead(long own, Optional<Leader> leader) {
        boolean shown = leader.filter(other -> other.term() == own).isPresent();
        if (shown) {
            ownTermSeen = true;
        } else if (ownTermSeen || leader.filter(other -> other.term() > own).isPresent()) {
            depose(leader.map(other -> "term " + other.term()).orElse("key removed"));
        }
    }

    private void elected(OptionalLong revision) {
        revision.ifPresent(value -> {
            term = revision;
            ownTermSeen = false;
            LOG.write(NodeEvent.ELECTED, self.node(), value);
        });
    }

    /** Ends the lease, so that the node is listed no more and another may lead at once. */
    @Override
    public void close() {
        leaving = true;
        thread.interrupt();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(1));
            if (lease.isPresent()) {
                store.revoke(lease.get());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (KvException e) {
            LOG.write(NodeEvent.STORE_LOST, "lease of " + self.node() + ": " + e.getMessage());
        }
    }
}
