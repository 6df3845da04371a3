package io.persimmonstack.node.prompts;

import io.persimmonstack.coordination.crash.CrashReport;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.kv.KvChange;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvRange;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.StoreFollower;
import io.persimmonstack.node.store.StoredValue;
import io.persimmonstack.router.crash.CrashReportMessages;
import io.persimmonstack.runtime.event.EventLog;
import java.util.List;

/** Takes the reports of all nodes from the store, also those of processes that have ended. */
public final class CrashReportFollower implements StoreFollower.Listener {
    private static final EventLog LOG = EventLog.of(CrashReportFollower.class);

    private final PartGuard guard;
    private final String ownKey;
    private final StoredValue ownReport;

    private CrashReportFollower(PartGuard guard, String ownKey, StoredValue ownReport) {
        this.guard = guard;
        this.ownKey = ownKey;
        this.ownReport = ownReport;
    }

    /**
     * Returns a listener for the keys below {@link NodeKeys#CRASH_REPORTS}.
     *
     * @param guard receives the reports
     * @param node name of this node
     * @param ownReport its report in the store, which is written again if the store has lost it
     */
    public static CrashReportFollower of(PartGuard guard, String node, StoredValue ownReport) {
        return new CrashReportFollower(guard, NodeKeys.crashReport(node), ownReport);
    }

    @Override
    public void onSnapshot(KvRange range) {
        range.entries().forEach(this::apply);
        ownReport.changed();
    }

    @Override
    public void onChanges(List<KvChange> changes) {
        for (KvChange change : changes) {
            switch (change) {
                case KvChange.Written written -> apply(written.entry());
                case KvChange.Deleted deleted -> writeAgain(deleted.key());
            }
        }
    }

    private void writeAgain(String key) {
        if (key.equals(ownKey)) {
            ownReport.changed();
        }
    }

    private void apply(KvEntry entry) {
        try {
            CrashReport report = CrashReportMessages.decode(entry.value());
            if (entry.key().equals(ownKey)) {
                guard.adopt(report);
            } else {
                guard.merge(report);
            }
        } catch (KvCorruptException e) {
            LOG.write(NodeEvent.ENTRY_UNREADABLE, entry.key(), entry.revision(), e.getMessage());
        }
    }
}
