package io.persimmonstack.node.store;

import io.persimmonstack.coordination.cap.ClockReading;
import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvCorruptException;
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
 * Session of this node in the store: keeps a lease alive, registers the node under it and takes part in the leader
 * election. The node acts as leader only while its lease is certainly valid, which it counts from the time at which the
 * last successful renewal was sent, less a safety margin.
 */
public final class StoreSession implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoreSession.class);
    private static final int LEASE_TTL_MS = 2_500;
    private static final int RENEW_INTERVAL_MS = 700;
    private static final int POLL_INTERVAL_MS = 100;
    private static final int ERROR_RETRY_MS = 500;
    /** Time by which the node stops leading before its lease expires. */
    private static final int LEASE_SAFETY_MARGIN_MS = 400;
    /** Time after which a registered node that the store does not list registers again. */
    private static final long REREGISTER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** Bound of the random delay before a candidacy, which reduces conflicting writes of several nodes. */
    private static final int ELECTION_JITTER_MS = 150;

    private final LeasedKvStore store;
    private final FleetView fleet;
    private final Peer self;
    private final BooleanSupplier canServe;
    private final Thread thread = Thread.ofVirtual().name("store-session").unstarted(this::run);
    private volatile boolean registered;
    private volatile long leaseValidUntilNanos;
    private volatile long leaseValidUntilWallMs;
    private volatile OptionalLong term = OptionalLong.empty();
    private volatile boolean closing;
    private volatile Optional<Lease> lease = Optional.empty();
    private long lastRenewalNanos;
    private long lastListedNanos;
    private boolean ownTermObserved;
    private long candidacyNotBeforeNanos = System.nanoTime();

    private StoreSession(LeasedKvStore store, FleetView fleet, Peer self, BooleanSupplier canServe) {
        this.store = store;
        this.fleet = fleet;
        this.self = self;
        this.canServe = canServe;
    }

    /**
     * Starts the session on a virtual thread.
     *
     * @param store store that grants the lease
     * @param fleet provides the registered nodes and the leader
     * @param self entry of this node
     * @param canServe returns whether the node can serve; it registers only then
     */
    public static StoreSession start(LeasedKvStore store, FleetView fleet, Peer self, BooleanSupplier canServe) {
        StoreSession session = new StoreSession(store, fleet, self, canServe);
        session.thread.start();
        return session;
    }

    /** Returns the term in which this node leads, empty if it does not lead or its lease may have expired. */
    public OptionalLong leadTerm() {
        // The monotonic clock stops while the machine is frozen, and the lease ends nevertheless.
        boolean valid =
                leaseValidUntilNanos - System.nanoTime() > 0 && leaseValidUntilWallMs > System.currentTimeMillis();
        boolean current = lease.filter(store::isCurrent).isPresent();
        return valid && current && !closing ? term : OptionalLong.empty();
    }

    /** Returns whether the node has registered, so that other nodes and callers can find it. */
    public boolean isRegistered() {
        return registered;
    }

    /**
     * Gives up the leadership, for example because another node has a higher term. Has no effect if this node does not
     * lead.
     *
     * @param cause reason for the log
     */
    public void stepDown(String cause) {
        OptionalLong lost = term;
        term = OptionalLong.empty();
        lost.ifPresent(value -> LOG.write(NodeEvent.DEPOSED, self.node(), value, cause));
    }

    private void run() {
        try {
            while (!closing) {
                runOnce();
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runOnce() throws InterruptedException {
        try {
            if (lease.isPresent() && !store.isCurrent(lease.get())) {
                storeRestored();
            }
            if (lease.isEmpty()) {
                acquireLease();
            } else if (sinceRenewalMs() >= RENEW_INTERVAL_MS) {
                renewLease(lease.get());
            }
            if (lease.isPresent() && !registered && canServe.getAsBoolean()) {
                register(lease.get());
            }
            if (registered) {
                checkRegistration();
                maintainLeadership(lease.get());
            }
        } catch (KvLeaseEndedException e) {
            leaseEnded("lease ended");
        } catch (KvCorruptException e) {
            pauseAfterFailedStep(e);
        } catch (KvException e) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (RuntimeException e) {
            pauseAfterFailedStep(e);
        }
    }

    private void pauseAfterFailedStep(Exception e) throws InterruptedException {
        LOG.write(NodeEvent.STORE_STEP_FAILED, "lease of " + self.node(), e.toString(), e);
        TimeUnit.MILLISECONDS.sleep(ERROR_RETRY_MS);
    }

    private void leaseEnded(String cause) {
        lease = Optional.empty();
        registered = false;
        stepDown(cause);
    }

    /**
     * Gives up a lease of a store that has come back from a copy. The leader of before may not have heard of that yet,
     * so only that leader itself stands for election before its lease has ended for certain.
     */
    private void storeRestored() {
        boolean led = term.isPresent() && leaseValidUntilNanos - System.nanoTime() > 0;
        if (!led) {
            candidacyNotBeforeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEASE_TTL_MS);
        }
        leaseEnded("the store came back from a copy");
    }

    private long sinceRenewalMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastRenewalNanos);
    }

    private void acquireLease() throws KvException {
        ClockReading sent = ClockReading.now();
        Lease granted = store.grant(LEASE_TTL_MS);
        lease = Optional.of(granted);
        recordRenewal(granted, sent);
    }

    private void renewLease(Lease activeLease) throws KvException {
        ClockReading sent = ClockReading.now();
        if (store.keepAlive(activeLease)) {
            recordRenewal(activeLease, sent);
            return;
        }
        leaseEnded("lease ended");
    }

    private void recordRenewal(Lease activeLease, ClockReading sent) {
        long validMs = activeLease.ttlMs() - LEASE_SAFETY_MARGIN_MS;
        lastRenewalNanos = sent.monotonicNanos();
        leaseValidUntilWallMs = sent.wallMs() + validMs;
        leaseValidUntilNanos = sent.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(validMs);
    }

    private void register(Lease activeLease) throws KvException {
        registered = overwrite(NodeKeys.node(self.node()), activeLease).isPresent();
        if (registered) {
            lastListedNanos = System.nanoTime();
            LOG.write(NodeEvent.REGISTERED, self.node(), activeLease.id());
        }
    }

    /** Schedules another registration if the entry has been removed although the lease is valid. */
    private void checkRegistration() {
        boolean listed = fleet.current().peers().containsKey(self.node());
        if (listed) {
            lastListedNanos = System.nanoTime();
        } else if (System.nanoTime() - lastListedNanos > REREGISTER_DELAY_NANOS) {
            registered = false;
        }
    }

    /** Writes this node's record over the current value of a key; returns empty if a concurrent write came first. */
    private OptionalLong overwrite(String key, Lease activeLease) throws KvException {
        Optional<KvEntry> existing = store.get(key);
        Expectation expected =
                existing.map(entry -> Expectation.atRevision(entry.revision())).orElseGet(Expectation::absent);
        return writeRecord(key, activeLease, expected);
    }

    private OptionalLong writeRecord(String key, Lease activeLease, Expectation expected) throws KvException {
        WriteOutcome outcome = store.put(key, NodeRecordCodec.encode(self), expected, activeLease);
        return switch (outcome) {
            case WriteOutcome.Applied applied -> OptionalLong.of(applied.revision());
            case WriteOutcome.Conflict conflict -> OptionalLong.empty();
        };
    }

    /**
     * Checks this node's leadership, or stands for election if no leader is listed or if the listed entry is from an
     * earlier leadership of this node.
     */
    private void maintainLeadership(Lease activeLease) throws KvException, InterruptedException {
        Fleet state = fleet.current();
        Optional<Leader> leader = state.leader();
        if (term.isPresent()) {
            checkLeadership(term.getAsLong(), leader);
            return;
        }
        boolean listedAsLeader =
                leader.filter(other -> other.node().equals(self.node())).isPresent();
        if (leader.isEmpty() && state.isInitialised() && System.nanoTime() - candidacyNotBeforeNanos >= 0) {
            TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(ELECTION_JITTER_MS));
            if (fleet.current().leader().isEmpty()) {
                recordElection(writeRecord(NodeKeys.LEADER, activeLease, Expectation.absent()));
            }
        } else if (listedAsLeader) {
            recordElection(writeRecord(
                    NodeKeys.LEADER,
                    activeLease,
                    Expectation.atRevision(leader.get().term())));
        }
    }

    /**
     * Steps down if the store lists a leader with a higher term, or no longer lists this leadership after it has done
     * so.
     */
    private void checkLeadership(long ownTerm, Optional<Leader> leader) {
        boolean termListed = leader.filter(other -> other.term() == ownTerm).isPresent();
        if (termListed) {
            ownTermObserved = true;
        } else if (ownTermObserved
                || leader.filter(other -> other.term() > ownTerm).isPresent()) {
            stepDown(leader.map(other -> "term " + other.term()).orElse("key removed"));
        }
    }

    private void recordElection(OptionalLong revision) {
        revision.ifPresent(value -> {
            term = revision;
            ownTermObserved = false;
            LOG.write(NodeEvent.ELECTED, self.node(), value);
        });
    }

    /** Ends the lease, so that the node is no longer listed and another one can be elected immediately. */
    @Override
    public void close() {
        closing = true;
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
