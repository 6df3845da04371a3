package io.persimmonstack.router.crash;

import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.router.RouterEvent;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.RouterEntry;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.RouterPeer;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What this router knows of prompts under which targets end, shared with the other routers. Their memory is the only
 * place where it is kept. Thread-safe.
 */
public final class RouterPrompts implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(RouterPrompts.class);
    private static final int CONNECT_TIMEOUT_MS = 300;
    private static final int CALL_TIMEOUT_MS = 500;

    private final FleetViews views;
    private final PartGuard guard;
    private final CrashReportSender sender;
    private final Closer closer = Closer.create();

    private RouterPrompts(String node, long startedMs, FleetViews views, PeerSecurity security) {
        this.views = views;
        this.guard = PartGuard.create(
                node, node + "@" + startedMs, () -> addresses().keySet(), new Events(), TimeSource.system());
        ThriftPeers<RouterPeer.Client> peers =
                closer.add(ThriftPeers.of(new RouterPeer.Client.Factory(), CONNECT_TIMEOUT_MS, security));
        this.sender =
                closer.add(CrashReportSender.of(node, this::addresses, guard, new PeerTransport(peers), report -> {}));
    }

    /**
     * Starts the exchange with other routers.
     *
     * @param node name of this router
     * @param startedMs start time of its process, in Unix milliseconds
     * @param views source of the current fleet view, with the other routers
     * @param security TLS settings for calls to other routers
     */
    public static RouterPrompts start(String node, long startedMs, FleetViews views, PeerSecurity security) {
        RouterPrompts prompts = new RouterPrompts(node, startedMs, views, security);
        prompts.sender.start();
        return prompts;
    }

    /** Logs what the guard decides, and sends reports that are due. */
    private final class Events implements PartGuard.Listener {
        @Override
        public void blocked(String part, int ends) {
            LOG.write(RouterEvent.PROMPT_BLOCKED, part, ends);
        }

        @Override
        public void freed(String part) {
            LOG.write(RouterEvent.PROMPT_FREED, part);
        }

        @Override
        public void tried(String part) {
            LOG.write(RouterEvent.PROMPT_TRIED, part);
        }

        @Override
        public void reportDue() {
            sender.wake();
        }
    }

    /** Sends reports over the connections between routers. */
    private record PeerTransport(ThriftPeers<RouterPeer.Client> peers) implements CrashReportSender.Transport {
        @Override
        public void send(PeerAddress address, List<CrashReportRecord> reports) throws WireException {
            peers.call(address, CALL_TIMEOUT_MS, client -> {
                client.keepCrashReports(reports);
                return true;
            });
        }

        @Override
        public void failed(String router, int reports, WireException cause) {
            LOG.write(RouterEvent.CRASH_REPORT_NOT_SENT, router, reports, cause.toString());
        }
    }

    private Map<String, PeerAddress> addresses() {
        return views.current().routers().stream()
                .collect(Collectors.toMap(RouterEntry::node, RouterEntry::peerAddress, (one, other) -> one));
    }

    /** Returns what decides about prompts. */
    public PartGuard guard() {
        return guard;
    }

    /** Takes reports that another router sends. */
    public void receive(List<CrashReportRecord> reports) {
        sender.receive(reports);
    }

    @Override
    public void close() {
        closer.close();
    }
}
