package io.persimmonstack.router;

import io.persimmonstack.backends.RefusedInputs;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.peer.PeerTrust;
import io.persimmonstack.coordination.claim.ClaimShards;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.router.admission.Admission;
import io.persimmonstack.router.admission.LoadRequester;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.callers.CallersHandler;
import io.persimmonstack.router.callers.CallersServer;
import io.persimmonstack.router.callers.RequestHandler;
import io.persimmonstack.router.claim.ClaimClient;
import io.persimmonstack.router.claim.LocalClaims;
import io.persimmonstack.router.claim.PeerHandler;
import io.persimmonstack.router.crash.RouterPrompts;
import io.persimmonstack.router.filter.AccountFilter;
import io.persimmonstack.router.filter.AdmitFilter;
import io.persimmonstack.router.filter.AuthoriseFilter;
import io.persimmonstack.router.filter.BlockedPromptFilter;
import io.persimmonstack.router.filter.ClaimFilter;
import io.persimmonstack.router.filter.DeadlineFilter;
import io.persimmonstack.router.filter.DispatchFilter;
import io.persimmonstack.router.filter.DispatchTimeouts;
import io.persimmonstack.router.filter.FilterChain;
import io.persimmonstack.router.filter.IdentifyFilter;
import io.persimmonstack.router.filter.PlaceFilter;
import io.persimmonstack.router.filter.PromptTurnFilter;
import io.persimmonstack.router.filter.ReceiveFilter;
import io.persimmonstack.router.filter.RelayFilter;
import io.persimmonstack.router.filter.RequestHedger;
import io.persimmonstack.router.filter.RetryFilter;
import io.persimmonstack.router.filter.SuccessorFinder;
import io.persimmonstack.router.request.RefusalLog;
import io.persimmonstack.router.snapshot.CoordinatorClient;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.router.snapshot.SelfDescription;
import io.persimmonstack.router.snapshot.SnapshotFollower;
import io.persimmonstack.router.snapshot.UseReporter;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.PeerSecurity;
import io.persimmonstack.wire.ThriftServer;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.RouterPeer;
import io.persimmonstack.wire.gen.RouterState;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A running router: creates the servers, the view of the fleet and the chain of filters, and stops them gracefully. */
public final class Router implements RunningProgram {
    private static final EventLog LOG = EventLog.of(Router.class);
    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    private final RouterSettings settings;
    private final ProgramContext context;
    private final Closer closer = Closer.create();
    private final RouterMetrics metrics;
    private final RefusedInputs refusedInputs;
    private final FleetViews views = FleetViews.create();
    private final Placer placer;
    private SnapshotFollower snapshotFollower;
    private CallersHandler callersHandler;
    private CallersServer callersServer;

    private Router(RouterSettings settings, ProgramContext context) {
        this.settings = settings;
        this.context = context;
        this.metrics = RouterMetrics.of(context.metrics());
        this.refusedInputs = RefusedInputs.of(context.metrics());
        this.placer = Placer.of(settings.zone(), settings.region());
    }

    /**
     * Starts a router.
     *
     * @param settings settings that have been checked
     * @param store key-value service that stores the claims
     * @param context resources shared by all parts of the program, such as metrics and tracing
     * @return the running router
     * @throws ProgramException if an address cannot be bound
     */
    public static Router start(RouterSettings settings, KvStore store, ProgramContext context) throws ProgramException {
        Router router = new Router(settings, context);
        try {
            router.start(store);
            return router;
        } catch (ProgramException e) {
            router.close();
            throw e;
        }
    }

    private void start(KvStore store) throws ProgramException {
        long incarnation = System.currentTimeMillis();
        ClaimShards shards = ClaimShards.of(settings.claims().shards());
        LocalClaims localClaims = closer.add(LocalClaims.of(
                shards,
                settings.node() + '-' + incarnation,
                store,
                Duration.ofMinutes(settings.claims().retentionMinutes()),
                settings.claims().batchIntervalMs(),
                settings.claims().maxHeld()));
        PeerSecurity security = PeerTrust.of(settings.peerTls(), closer);
        RouterPrompts prompts = closer.add(RouterPrompts.start(settings.node(), incarnation, views, security));
        ThriftServer peerServer = closer.add(startPeerServer(localClaims, prompts, security));
        SelfDescription self = new SelfDescription(
                settings.node(),
                incarnation,
                settings.callersAddress(),
                new PeerAddress(PeerAddress.parse(settings.peerAddress()).ip(), peerServer.port()).toString(),
                new AtomicReference<>(RouterState.STARTING));
        CoordinatorClient coordinators = closer.add(CoordinatorClient.of(
                settings.coordinators().stream().map(PeerAddress::parse).toList(), views, security));
        ClaimClient claimClient = closer.add(ClaimClient.of(settings.node(), shards, localClaims, views, security));
        FilterChain chain =
                FilterChain.of(createFilters(coordinators, claimClient, prompts.guard()), context.tracing());
        startCallersServer(self, chain, coordinators);
    }

    private ThriftServer startPeerServer(LocalClaims localClaims, RouterPrompts prompts, PeerSecurity security)
            throws ProgramException {
        try {
            RouterPeer.Iface handler = PeerHandler.of(localClaims, prompts::receive, context.tracing());
            return ThriftServer.start(
                    PeerAddress.parse(settings.peerAddress()),
                    new RouterPeer.Processor<>(handler),
                    security,
                    refusedInputs.linkLimits());
        } catch (WireException e) {
            throw new ProgramException("peerAddress " + e.getMessage(), e);
        }
    }

    private List<io.persimmonstack.router.filter.Filter> createFilters(
            CoordinatorClient coordinators, ClaimClient claimClient, PartGuard prompts) {
        Tracing tracing = context.tracing();
        TargetSettings targets = settings.targets();
        LoadRequester loadRequester = LoadRequester.of(coordinators, views, placer, tracing, metrics, settings.zone());
        Admission admission = closer.add(Admission.start(views, placer, loadRequester, metrics, targets.queueBound()));
        HttpConnector connector = closer.add(HttpConnector.create(
                HttpConnectorOptions.defaults(context.metrics()).withIoThreads(targets.ioThreads())));
        DispatchTimeouts timeouts = new DispatchTimeouts(
                targets.connectMs(), targets.progressMs(), targets.firstTokenMs(), targets.minFirstByteMs());
        RetryBudget budget = RetryBudget.full();
        SuccessorFinder successors = SuccessorFinder.of(connector, targets.connectMs(), placer, views, budget);
        RequestHedger hedger = RequestHedger.of(targets.hedgeAfterMs(), placer, views, budget, metrics);
        UseReporter useReporter = closer.add(UseReporter.start(coordinators));
        return List.of(
                AccountFilter.of(metrics),
                ReceiveFilter.of(views),
                IdentifyFilter.of(views),
                AuthoriseFilter.of(views),
                BlockedPromptFilter.of(prompts),
                DeadlineFilter.create(),
                ClaimFilter.of(
                        claimClient,
                        admission,
                        tracing,
                        metrics,
                        settings.claims().maxWaiting()),
                AdmitFilter.of(admission, metrics),
                RetryFilter.of(budget, metrics),
                PlaceFilter.of(placer, admission, views, useReporter),
                PromptTurnFilter.of(prompts, connector),
                DispatchFilter.of(connector, timeouts, tracing, admission, successors, hedger, createTimers(), metrics),
                RelayFilter.of(metrics, timeouts.progressMs()));
    }

    /** Creates the timers that cancel calls to targets at the deadlines of their requests. */
    private ScheduledThreadPoolExecutor createTimers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().daemon().name("deadlines").factory());
        timers.setRemoveOnCancelPolicy(true);
        closer.add(timers::shutdownNow);
        return timers;
    }

    private void startCallersServer(SelfDescription self, FilterChain chain, CoordinatorClient coordinators)
            throws ProgramException {
        ExecutorService requestThreads = Executors.newVirtualThreadPerTaskExecutor();
        closer.add(requestThreads::shutdownNow);
        RefusalLog refusals = RefusalLog.create();
        context.pages().add("/refusals/", refusals::matching);
        RequestHandler requests = RequestHandler.of(chain, context.tracing(), refusals);
        callersHandler = closer.add(CallersHandler.of(settings.callers(), requests, views, self, requestThreads));
        metrics.gauge("requests.open", callersHandler::openRequests);
        metrics.gauge("input.memory.used", () -> (int) callersHandler.receivedBytes());
        metrics.gauge("answers.memory.used", () -> (int) callersHandler.untakenBytes());
        callersServer = closer.add(CallersServer.start(
                PeerAddress.parse(settings.callersAddress()),
                settings.callers(),
                callersHandler,
                refusal -> refusedInputs.record(refusal.reason())));
        SelfDescription selfWithBoundAddress = new SelfDescription(
                self.node(), self.incarnation(), callersServer.address().toString(), self.peerAddress(), self.state());
        self.state().set(RouterState.SERVING);
        views.onChange(() -> reportReadyIfServing(self));
        snapshotFollower = closer.add(SnapshotFollower.start(
                selfWithBoundAddress, coordinators, views, settings.targets().serviceConcurrency()));
    }

    private void reportReadyIfServing(SelfDescription self) {
        if (self.state().get() == RouterState.SERVING) {
            context.readiness().ready();
        }
    }

    /** Returns the address that callers connect to. */
    public PeerAddress callersAddress() {
        return callersServer.address();
    }

    /** Returns how many snapshots have replaced the view of the fleet so far. */
    public long snapshots() {
        return views.replacements();
    }

    @Override
    public void stop() throws InterruptedException {
        int acceptRequestsMs =
                settings.callers().keepForMs() + settings.callers().leaveMarginMs();
        LOG.write(RouterEvent.LEAVING, acceptRequestsMs);
        context.readiness().notReady("leaving");
        snapshotFollower.announce(RouterState.LEAVING);
        TimeUnit.MILLISECONDS.sleep(acceptRequestsMs);
        LOG.write(RouterEvent.DRAINING, callersHandler.openRequests());
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMs());
        while (callersHandler.openRequests() > 0 && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MS);
        }
        if (callersHandler.openRequests() > 0) {
            LOG.write(RouterEvent.DRAIN_CUT, callersHandler.openRequests());
        }
        snapshotFollower.announce(RouterState.STOPPED);
    }

    @Override
    public void close() {
        closer.close();
    }
}
