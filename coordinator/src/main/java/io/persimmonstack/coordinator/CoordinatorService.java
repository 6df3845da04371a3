package io.persimmonstack.coordinator;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Scope;
import io.persimmonstack.coordination.membership.GossipException;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.membership.SyncAnswer;
import io.persimmonstack.coordinator.config.ConfigurationUpdater;
import io.persimmonstack.coordinator.explain.FleetExplainer;
import io.persimmonstack.coordinator.gossip.GossipMapping;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.load.DemandStatisticsReplicator;
import io.persimmonstack.coordinator.load.LoadRequestHandler;
import io.persimmonstack.coordinator.load.Preloader;
import io.persimmonstack.coordinator.load.StorePermits;
import io.persimmonstack.coordinator.load.UseReportForwarder;
import io.persimmonstack.coordinator.runner.RunnerAgent;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.LocalRouterMonitor;
import io.persimmonstack.coordinator.view.OperatorCommands;
import io.persimmonstack.coordinator.view.SnapshotPublisher;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.gen.ConfigurationAnswer;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.Digest;
import io.persimmonstack.wire.gen.HandOverAnswer;
import io.persimmonstack.wire.gen.HandOverRequest;
import io.persimmonstack.wire.gen.HandOverResult;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.ModelUse;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.ShareAnswer;
import io.persimmonstack.wire.gen.ShareTrade;
import io.persimmonstack.wire.gen.Snapshot;
import io.persimmonstack.wire.gen.SnapshotRequest;
import io.persimmonstack.wire.gen.StatusAnswer;
import io.persimmonstack.wire.gen.StatusLine;
import io.persimmonstack.wire.gen.Updates;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Implements the coordinator's Thrift service by delegating each call to the component responsible for it. Routers,
 * other coordinators and the operators' command-line tool call it.
 *
 * @param view members, runner states and host list known to this node
 * @param snapshots serves snapshots of the fleet to routers
 * @param localRouter tracks the state of the router on this host
 * @param configurationUpdater serves the configuration to peers
 * @param runners runners owned by this node
 * @param loadRequestHandler handles load requests of routers
 * @param preloader handles preloads, which no request waits for
 * @param useReports handles the routers' reports of model use
 * @param demandReplicator accepts demand statistics from other coordinators
 * @param operatorCommands handles status and drain commands
 * @param explainer explains the state of models and runners to operators
 * @param permits lends permits for the weight store's limits to other coordinators
 * @param tracing creates the spans of load requests
 */
record CoordinatorService(
        FleetView view,
        SnapshotPublisher snapshots,
        LocalRouterMonitor localRouter,
        ConfigurationUpdater configurationUpdater,
        Runners runners,
        LoadRequestHandler loadRequestHandler,
        Preloader preloader,
        UseReportForwarder useReports,
        DemandStatisticsReplicator demandReplicator,
        OperatorCommands operatorCommands,
        FleetExplainer explainer,
        StorePermits permits,
        Tracing tracing)
        implements Coordinator.Iface {
    private static final long AGENT_TIMEOUT_MS = 2_500;

    private Membership<NodeAttributes, RunnerStatus> membership() {
        return view.membership();
    }

    @Override
    public Updates probe(Member sender, Updates updates) {
        return GossipMapping.toWire(
                membership().onProbe(GossipMapping.fromWire(sender), GossipMapping.fromWire(updates)));
    }

    @Override
    public Updates probeVia(Member sender, String targetAddress, Updates updates) throws WireRefusal {
        try {
            return GossipMapping.toWire(membership()
                    .onProbeVia(GossipMapping.fromWire(sender), targetAddress, GossipMapping.fromWire(updates)));
        } catch (GossipException e) {
            throw new WireRefusal("no-answer", e.getMessage());
        }
    }

    @Override
    public io.persimmonstack.wire.gen.SyncAnswer synchronize(Member sender, Digest digest) {
        SyncAnswer<NodeAttributes, RunnerStatus> answer =
                membership().onSynchronize(GossipMapping.fromWire(sender), GossipMapping.fromWire(digest));
        return GossipMapping.toWire(answer);
    }

    @Override
    public void deliver(Member sender, Updates updates) {
        membership().onDeliver(GossipMapping.fromWire(sender), GossipMapping.fromWire(updates));
    }

    @Override
    public ConfigurationAnswer configuration(long knownVersion) {
        return configurationUpdater.answerPeer(knownVersion);
    }

    @Override
    public Snapshot awaitSnapshot(SnapshotRequest request) throws WireRefusal {
        localRouter.recordReport(request);
        try {
            return snapshots.await(request);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new WireRefusal("stopping", "the coordinator stops");
        }
    }

    @Override
    public LoadAnswer load(LoadRequest request, Map<String, String> trace) {
        Span span = tracing.start("coordinator.load", SpanKind.SERVER, tracing.extract(trace));
        try (Scope ignored = span.makeCurrent()) {
            span.setAttribute("model", request.getModel());
            LoadAnswer answer = Preloader.isPreload(request)
                    ? preloader.orderOnOwnedRunner(request)
                    : loadRequestHandler.load(request);
            span.setAttribute("result", answer.getResult().name());
            explainer.recordAnswer(request, answer);
            return answer;
        } finally {
            span.end();
        }
    }

    @Override
    public void reportUse(List<ModelUse> reported, int hops) {
        if (hops == DemandStatisticsReplicator.STATISTICS_HOPS) {
            demandReplicator.adopt(reported);
        } else {
            useReports.report(reported, hops);
        }
    }

    @Override
    public boolean releaseSlot(String runner, String model) throws WireRefusal {
        return awaitAgent(requireOwnedAgent(runner).releaseIdleSlot(model));
    }

    @Override
    public HandOverAnswer handOver(HandOverRequest request) throws WireRefusal {
        Optional<String> refusal =
                awaitAgent(requireOwnedAgent(request.getRunner()).handOver());
        HandOverAnswer answer =
                new HandOverAnswer(refusal.isEmpty() ? HandOverResult.HANDED_OVER : HandOverResult.REFUSED);
        refusal.ifPresent(answer::setReason);
        return answer;
    }

    private RunnerAgent requireOwnedAgent(String runner) throws WireRefusal {
        return runners.agent(runner)
                .orElseThrow(() -> new WireRefusal("not-owner", "runner " + runner + " is not owned here"));
    }

    private static <T> T awaitAgent(CompletableFuture<T> result) throws WireRefusal {
        try {
            return result.get(AGENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new WireRefusal("no-answer", "the runner's agent gave no answer: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new WireRefusal("stopping", "the coordinator stops");
        }
    }

    @Override
    public ShareAnswer tradeShare(ShareTrade trade) {
        return new ShareAnswer(permits.handleTrade(trade));
    }

    @Override
    public StatusAnswer status() {
        return operatorCommands.status();
    }

    @Override
    public List<StatusLine> explain(String subject) {
        return explainer.explain(subject);
    }

    @Override
    public void drainRunner(String runner, boolean leaving) throws WireRefusal {
        operatorCommands.drain(runner, leaving);
    }
}
