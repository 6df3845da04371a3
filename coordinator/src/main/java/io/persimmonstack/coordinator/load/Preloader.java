package io.persimmonstack.coordinator.load;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.runner.RunnerAgent;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Preloads models whose demand is expected soon. The home of a model decides, so that the fleet preloads one replica.
 * The owner of the chosen runner checks the slot, the memory and the weight store's limits, and refuses where a waiting
 * load needs them.
 *
 * <p>A model is preloaded at most once in the period for which the policy expects demand. If it is evicted within that
 * period, its memory was needed for other models, so it is not loaded again.
 */
public final class Preloader {
    private static final EventLog LOG = EventLog.of(Preloader.class);
    /** Hop count of a request that was forwarded to the owner of the chosen runner. */
    private static final int HOPS_OWNER = 2;

    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final int AGENT_TIMEOUT_MS = 4_000;
    /** Time before its end at which a decision is made anew, so that a preload is extended while it is still held. */
    private static final long EARLY_RENEWAL_MS = 10_000;
    /** Pause after a refused preload. */
    private static final long RETRY_AFTER_MS = 60_000;

    private static final int NO_WAITING_REQUESTS = 0;

    private final FleetView view;
    private final ModelHomes homes;
    private final Runners runners;
    private final WeightCatalogueCache catalogueCache;
    private final DemandTracker demandTracker;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    /** Wall-clock time until which no new decision is made on a model: the end of its preload or of a retry pause. */
    private final Map<LoadKey, Long> decidedUntilMs = new ConcurrentHashMap<>();

    private Preloader(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogueCache,
            DemandTracker demandTracker,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.runners = runners;
        this.catalogueCache = catalogueCache;
        this.demandTracker = demandTracker;
        this.feed = feed;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Creates the preloader of a node.
     *
     * @param view state of the fleet
     * @param runners runners that this node owns
     * @param catalogueCache memory that models take
     * @param demandTracker predicts the demand for models
     * @param feed active configuration
     * @param peers connections to coordinators
     * @param time clocks
     * @return the preloader
     */
    public static Preloader of(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogueCache,
            DemandTracker demandTracker,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        return new Preloader(view, runners, catalogueCache, demandTracker, feed, peers, time);
    }

    /** Returns whether a load request is a preload: it names a runner and no requests are waiting for it. */
    public static boolean isPreload(LoadRequest request) {
        return request.isSetRunner() && request.getWaiting() == NO_WAITING_REQUESTS;
    }

    /** Preloads the models that have this node as their home and whose demand is expected. */
    public void preloadExpectedModels() {
        long nowMs = time.currentTimeMillis();
        decidedUntilMs.values().removeIf(until -> until - EARLY_RENEWAL_MS <= nowMs);
        for (LoadKey key : demandTracker.observedKeys()) {
            if (key.adapter().isEmpty() && !decidedUntilMs.containsKey(key) && homes.isHome(key) && isServed(key)) {
                preloadIfExpected(key, nowMs);
            }
        }
    }

    private boolean isServed(LoadKey key) {
        return feed.current().configuration().deployments().stream()
                .anyMatch(deployment -> deployment.modelVersions().contains(key.model()));
    }

    /** Preloads a model if the policy expects demand for it and a runner can take it. */
    private void preloadIfExpected(LoadKey key, long nowMs) {
        long preloadUntilMs = demandTracker.preloadUntilMs(key, nowMs);
        Optional<LoadSizes> sizes = catalogueCache.sizes(key);
        if (preloadUntilMs <= nowMs || sizes.isEmpty()) {
            return;
        }
        Optional<RunnerView> runner = chooseRunner(key.model(), sizes.get().baseBytes());
        if (runner.isPresent()) {
            boolean accepted = orderOn(key, runner.get(), preloadUntilMs - nowMs);
            decidedUntilMs.put(key, accepted ? preloadUntilMs : nowMs + RETRY_AFTER_MS);
        }
    }

    /**
     * Returns a runner that has the model loaded or loading; otherwise, among those with a slot and enough free memory,
     * the one nearest to the checkpoint; empty if there is none.
     */
    private Optional<RunnerView> chooseRunner(ModelVersion model, long baseBytes) {
        List<RunnerView> usable = view.runners().stream()
                .filter(runner -> runner.ownerLive() && !runner.leaving())
                .toList();
        Optional<RunnerView> withModel =
                usable.stream().filter(runner -> runner.holds(model)).findFirst();
        return withModel.or(() -> usable.stream()
                .filter(runner -> runner.hasSlot(model) && runner.model(model).isEmpty())
                .filter(runner -> runner.freeBytes() >= baseBytes)
                .min(Comparator.comparingInt((RunnerView runner) -> runner.checkpointRank(model))
                        .thenComparing(
                                Comparator.comparingLong(RunnerView::freeBytes).reversed())
                        .thenComparing(RunnerView::runner)));
    }

    /** Orders a preload on a runner of this or another node; returns whether it was accepted. */
    private boolean orderOn(LoadKey key, RunnerView runner, long holdMs) {
        LoadRequest request = new LoadRequest(
                key.model().toString(),
                holdMs,
                NO_WAITING_REQUESTS,
                runner.status().getZone(),
                1,
                HOPS_OWNER);
        request.setRunner(runner.runner());
        LoadAnswer answer =
                runners.agent(runner.runner()).isPresent() ? orderOnOwnedRunner(request) : forward(request, runner);
        return LoadAnswers.isAccepted(answer);
    }

    /** Forwards a preload to the owner of the runner; returns a refusal if the owner does not answer. */
    private LoadAnswer forward(LoadRequest request, RunnerView runner) {
        Optional<String> owner = homes.address(runner.status().getOwnerNode());
        try {
            return owner.isEmpty()
                    ? LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "the owner has gone")
                    : peers.call(
                            PeerAddress.parse(owner.get()), CALL_TIMEOUT_MS, client -> client.load(request, Map.of()));
        } catch (WireException e) {
            return LoadAnswers.refusal(LoadResult.REFUSED_OWNER, e.getMessage());
        }
    }

    /**
     * Orders a preload on a runner that this node owns. Blocks until the runner's agent has answered, at most
     * {@value #AGENT_TIMEOUT_MS} ms.
     *
     * @param request model and runner; its slack is the time in milliseconds for which the model stays loaded without
     *     requests
     * @return whether the model is loaded or loading, or why not
     */
    public LoadAnswer orderOnOwnedRunner(LoadRequest request) {
        LoadKey key = new LoadKey(ModelVersion.parse(request.getModel()), Optional.empty());
        Optional<RunnerAgent> agent = runners.agent(request.getRunner());
        Optional<LoadSizes> sizes = catalogueCache.sizes(key);
        if (agent.isEmpty() || sizes.isEmpty()) {
            return LoadAnswers.refusal(
                    LoadResult.REFUSED_OWNER, request.getRunner() + " or " + key + " is not known here");
        }
        try {
            LoadAnswer answer = agent.get()
                    .preload(key, request.getSlackMs(), sizes.get())
                    .get(AGENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (answer.getResult() == LoadResult.LOADING) {
                LOG.write(CoordinatorEvent.LOADED_AHEAD, key, request.getRunner(), request.getSlackMs());
            }
            return answer;
        } catch (ExecutionException | TimeoutException e) {
            return LoadAnswers.refusal(LoadResult.REFUSED_FAILED, "the runner's agent gave no answer");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "the coordinator stops");
        }
    }
}
