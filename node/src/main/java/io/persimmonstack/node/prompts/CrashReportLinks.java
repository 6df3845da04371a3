package io.persimmonstack.node.prompts;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.router.crash.CrashReportSender;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.NodeLink;
import java.util.List;

/** Sends reports about runners that ended over the links between nodes. */
public final class CrashReportLinks implements CrashReportSender.Transport, AutoCloseable {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(CrashReportLinks.class));
    private static final int CONNECT_TIMEOUT_MS = 200;
    private static final int CALL_TIMEOUT_MS = 300;

    private final ThriftPeers<NodeLink.Client> links =
            ThriftPeers.of(new NodeLink.Client.Factory(), CONNECT_TIMEOUT_MS);

    private CrashReportLinks() {}

    /** Returns links without open connections. */
    public static CrashReportLinks create() {
        return new CrashReportLinks();
    }

    @Override
    public void send(PeerAddress address, List<CrashReportRecord> reports) throws WireException {
        links.call(address, CALL_TIMEOUT_MS, client -> {
            client.keepCrashReports(reports);
            return true;
        });
    }

    @Override
    public void failed(String node, int reports, WireException cause) {
        LOG.write(NodeEvent.CRASH_REPORT_NOT_SENT, node, reports, cause.toString());
    }

    @Override
    public void close() {
        links.close();
    }
}
