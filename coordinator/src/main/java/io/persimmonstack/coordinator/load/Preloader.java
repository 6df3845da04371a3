package io.persimmonstack.coordinator.load;

import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.runner.RunnerAgent;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Weights;
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
 * Has models loaded before they are asked for. The home of a model decides, so that the fleet loads one replica; the
 * owner of the chosen runner checks slot, memory and the store's limits and refuses where a waiting load needs them.
 *
 * <p>A model is loaded ahead at most once in the time for which the policy expects it. Should it be evicted within that
 * time, the room was needed more elsewhere.
 */
public final class Preloader {
    private static final EventLog LOG = EventLog.of(Preloader.class);
    private static final int HOPS_OWNER = 2;
    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final int ORDER_TIMEOUT_MS = 4_000;
    private static final long EARLY_RENEWAL_MS = 10_000;
    private static final long RETRY_AFTER_MS = 60_000;
    private static final int NO_WAITING_REQUESTS = 0;

    private final FleetView view;
    private final ModelHomes homes;
    private final Runners runners;
    private final Weights weights;
    private final DemandTracker demandTracker;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final Map<LoadKey, Long> decidedUntilMs = new ConcurrentHashMap<>();

    private Preloader(
            FleetView view,
            Runners runners,
            Weights weights,
            DemandTracker demandTracker,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.runners = runners;
        this.weights = weights;
        this.demandTracker = demandTracker;
        this.feed = feed;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Creates the decision of a node.
     *
     * @param view state of the fleet
     * @param runners runners that this node owns
     * @param weights sizes of models
     * @param demandTracker knows which models are expected
     * @param feed configuration
     * @param peers connections to coordinators
     * @param time clocks
     * @return the decision
     */
    public static Preloader of(
            FleetView view,
            Runners runners,
            Weights weights,
            DemandTracker demandTracker,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        return new Preloader(view, runners, weights, demandTracker, feed, peers, time);
    }

    /** Returns whether a request asks for a load that nobody waits for. */
    public static boolean isPreload(LoadRequest request) {
        return request.isSetRunner() && request.getWaiting() == NO_WAITING_REQUESTS;
    }

    /** Decides on all models that this node is home to. */
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

    private void preloadIfExpected(LoadKey key, long nowMs) {
        long preloadUntilMs = demandTracker.preloadUntilMs(key, nowMs);
        Optional<LoadSizes> sizes = weights.sizes(key);
        if (preloadUntilMs <= nowMs || sizes.isEmpty()) {
            return;
        }
        Optional<RunnerView> runner = chooseRunner(key.model(), sizes.get().baseBytes());
        if (runner.isPresent()) {
            boolean accepted = orderOn(key, runner.get(), preloadUntilMs - nowMs);
            decidedUntilMs.put(key, accepted ? preloadUntilMs : nowMs + RETRY_AFTER_MS);
        }
    }

    /** Returns a runner that has the model, or else the nearest to its checkpoint with a slot and free memory. */
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
     * Orders a load that nobody waits for on a runner that this node owns.
     *
     * @param request what is to be loaded where, and as its slack for how long it is held
     * @return what became of it
     */
    public LoadAnswer orderOnOwnedRunner(LoadRequest request) {
        LoadKey key = new LoadKey(ModelVersion.parse(request.getModel()), Optional.empty());
        Optional<RunnerAgent> agent = runners.agent(request.getRunner());
        Optional<LoadSizes> sizes = weights.sizes(key);
        if (agent.isEmpty() || sizes.isEmpty()) {
            return LoadAnswers.refusal(
                    LoadResult.REFUSED_OWNER, request.getRunner() + " or " + key + " is not known here");
        }
        try {
            LoadAnswer answer = agent.get()
                    .preload(key, request.getSlackMs(), sizes.get())
                    .get(ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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
