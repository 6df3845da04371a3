package io.persimmonstack.node.store;

import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.runtime.event.EventLog;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Mirrors the registered runners from the store into the fleet view. Thread-safe. */
public final class RunnerFollower implements StoreFollower.Listener {
    private static final EventLog LOG = EventLog.of(RunnerFollower.class);
    /** Time after an outage of the store in which runners can renew their entries. */
    private static final long OUTAGE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /**
     * Time after an outage, or after a reread, in which the age of a change is unknown: the store may have lost what a
     * runner wrote, and the runner writes it again.
     */
    static final long SETTLING_NANOS = 2 * OUTAGE_GRACE_NANOS;

    private final String prefix;
    private final RunnerDecoder decoder;
    private final FleetView fleet;
    private final OutageTolerantEntries<Runner> runners = OutageTolerantEntries.withGracePeriod(OUTAGE_GRACE_NANOS);
    private long revision;
    private long settledNanos;

    private RunnerFollower(String prefix, RunnerDecoder decoder, FleetView fleet) {
        this.prefix = prefix;
        this.decoder = decoder;
        this.fleet = fleet;
    }

    /**
     * Returns a listener for the keys of runners.
     *
     * @param prefix prefix of the keys; the rest of a key is the identifier of the runner
     * @param decoder decodes the values
     * @param fleet receives the runners
     */
    public static RunnerFollower of(String prefix, RunnerDecoder decoder, FleetView fleet) {
        return new RunnerFollower(prefix, decoder, fleet);
    }

    @Override
    public synchronized void onSnapshot(KvRange range) {
        startSettling();
        revision = range.revision();
        Set<String> listed =
                range.entries().stream().map(entry -> id(entry.key())).collect(Collectors.toSet());
        range.entries().forEach(this::applyEntry);
        logRemoved(runners.retain(listed, System.nanoTime()), "not listed");
        publish();
    }

    @Override
    public synchronized void onChanges(List<KvChange> changes) {
        changes.forEach(this::applyChange);
        publish();
    }

    private void applyChange(KvChange change) {
        switch (change) {
            case KvChange.Written written -> {
                revision = written.entry().revision();
                applyEntry(written.entry());
            }
            case KvChange.Deleted deleted -> {
                revision = deleted.revision();
                String id = id(deleted.key());
                if (runners.remove(id, System.nanoTime())) {
                    logRemoved(List.of(id), "entry removed");
                }
            }
        }
    }

    @Override
    public synchronized void onCompleteUpTo(long nanos) {
        if (nanos - settledNanos >= 0) {
            fleet.recordRunnersCompleteUpTo(nanos);
        }
    }

    @Override
    public synchronized void onUnavailable() {
        startSettling();
        runners.storeUnavailable(System.nanoTime());
    }

    private void startSettling() {
        settledNanos = System.nanoTime() + SETTLING_NANOS;
        fleet.recordRunnersIncomplete();
    }

    /** Removes runners whose entries vanished around an outage and were not written again; to be called regularly. */
    public synchronized void expire() {
        List<String> expired = runners.expire(System.nanoTime());
        if (!expired.isEmpty()) {
            logRemoved(expired, "not back after an outage");
            publish();
        }
    }

    private void applyEntry(KvEntry entry) {
        String id = id(entry.key());
        try {
            Runner before = runners.entries().get(id);
            Runner runner = carryLeaving(before, decoder.runner(id, entry.value()));
            boolean fromEarlierProcess = before != null && before.startedMs() > runner.startedMs();
            boolean changed = !fromEarlierProcess && runners.put(id, runner);
            if (changed && !differsOnlyInModels(before, runner)) {
                LOG.write(
                        NodeEvent.RUNNER_CHANGED,
                        id,
                        runner.softwareVersion(),
                        runner.service(),
                        runner.address(),
                        runner.leaving(),
                        runner.models().stream().map(model -> model.name()).toList(),
                        entry.revision());
            }
        } catch (UnreadableException e) {
            LOG.write(NodeEvent.ENTRY_UNREADABLE, entry.key(), entry.revision(), e.getMessage());
            // Such an entry names no runner to use, whatever an earlier one said.
            if (runners.removeNow(id)) {
                logRemoved(List.of(id), "entry unreadable");
            }
        }
    }

    /** A process that leaves does not stay after all: an entry that says otherwise is from a copy of the store. */
    private static Runner carryLeaving(Runner before, Runner now) {
        boolean left = before != null && before.leaving() && before.isSameProcess(now);
        return left ? now.asLeaving() : now;
    }

    /**
     * Returns whether two entries of a process differ at most in models and other details that need no log line.
     * Models change often, and the leader's reports about them are newer than the entry.
     */
    private static boolean differsOnlyInModels(Runner before, Runner now) {
        return before != null
                && before.isSameProcess(now)
                && before.leaving() == now.leaving()
                && before.address().equals(now.address())
                && before.service().equals(now.service());
    }

    private String id(String key) {
        return key.substring(prefix.length());
    }

    private void logRemoved(List<String> ids, String cause) {
        ids.forEach(id -> LOG.write(NodeEvent.RUNNER_GONE, id, revision, cause));
    }

    private void publish() {
        long currentRevision = revision;
        fleet.update(now -> now.withRunners(runners.entries(), currentRevision));
    }
}
