package io.persimmonstack.coordinator.load;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.ConfigurationFeed;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.runner.RunnerAgent;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadRequest;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

/**
 * Handles load requests of routers and of other coordinators. Each model has a home node, chosen by rendezvous hashing,
 * to which all nodes forward the requests, so that a burst of requests causes one load. The home plans the load and
 * forwards it to the owner of the chosen runner. Thread-safe.
 */
public final class LoadRequestHandler {
    private static final EventLog LOG = EventLog.of(LoadRequestHandler.class);
    /** Hop count of a request that was forwarded to the home of its model. */
    private static final int HOPS_HOME = 1;
    /** Hop count of a request that was forwarded to the owner of the chosen runner. */
    private static final int HOPS_OWNER = 2;

    private static final int CALL_TIMEOUT_MS = 3_000;
    private static final int AGENT_TIMEOUT_MS = 2_500;
    private static final long RETRY_AFTER_MS = 1_000;

    private final FleetView view;
    private final ModelHomes homes;
    private final Runners runners;
    private final WeightCatalogueCache catalogueCache;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ThriftPeers<Coordinator.Client> peers;
    private final MetricRegistry metrics;
    private final SlotHolders slotHolders;
    private final RecentLoads recentLoads;
    /** Locks by model name; a model's requests are planned while its lock is held. */
    private final Map<String, Object> planLocks = new ConcurrentHashMap<>();

    private LoadRequestHandler(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogueCache,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            SlotHolders slotHolders,
            RecentLoads recentLoads,
            MetricRegistry metrics) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.runners = runners;
        this.catalogueCache = catalogueCache;
        this.feed = feed;
        this.peers = peers;
        this.slotHolders = slotHolders;
        this.recentLoads = recentLoads;
        this.metrics = metrics;
    }

    /**
     * Creates the handler of a node.
     *
     * @param view state of the fleet
     * @param runners runners that this node owns
     * @param catalogueCache memory that models take
     * @param feed active configuration
     * @param peers connections to coordinators
     * @param grantReader reads slots and owners from the key-value store
     * @param time clocks
     * @param metrics counts results and durations
     * @return the handler
     */
    public static LoadRequestHandler of(
            FleetView view,
            Runners runners,
            WeightCatalogueCache catalogueCache,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            GrantReader grantReader,
            TimeSource time,
            MetricRegistry metrics) {
        SlotHolders slotHolders = SlotHolders.of(grantReader, time);
        RecentLoads recentLoads = new RecentLoads(time);
        return new LoadRequestHandler(view, runners, catalogueCache, feed, peers, slotHolders, recentLoads, metrics);
    }

    /**
     * Handles a load request. Blocks until it was answered, at most a few seconds for each node that it is forwarded
     * to.
     *
     * @param request what to load, by when, and for which zone
     * @return whether the model is loaded or loading, or why not
     */
    public LoadAnswer load(LoadRequest request) {
        Timer.Context timer = metrics.timer("load.ms").time();
        try {
            LoadAnswer answer = route(request);
            metrics.counter("load.result." + answer.getResult()).inc();
            if (!LoadAnswers.isAccepted(answer)) {
                answer.setRetryAfterMs(RETRY_AFTER_MS);
                LOG.write(CoordinatorEvent.LOAD_REFUSED, request.getModel(), answer.getResult(), answer.getReason());
            }
            return answer;
        } finally {
            timer.stop();
        }
    }

    /** Orders on the named runner, forwards to the model's home, or plans here, in this order of preference. */
    private LoadAnswer route(LoadRequest request) {
        Optional<LoadKey> key = parse(request);
        if (key.isEmpty() || !isServed(key.get())) {
            return LoadAnswers.refusal(LoadResult.REFUSED_UNKNOWN, "no deployment serves " + request.getModel());
        }
        if (request.isSetRunner()) {
            return orderOnOwnedRunner(request, key.get(), request.getRunner());
        }
        Optional<LoadAnswer> homeAnswer =
                request.getHops() < HOPS_HOME ? askHome(request, key.get()) : Optional.empty();
        return homeAnswer.orElseGet(() -> planAndOrder(request, key.get()));
    }

    /** Returns the requested model or adapter, or empty if the model name is malformed. */
    private static Optional<LoadKey> parse(LoadRequest request) {
        try {
            return Optional.of(
                    new LoadKey(ModelVersion.parse(request.getModel()), Optional.ofNullable(request.getAdapter())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns whether a deployment of the active configuration serves the model version and the adapter, if any. */
    private boolean isServed(LoadKey key) {
        return feed.current().configuration().deployments().stream()
                .filter(deployment -> deployment.model().equals(key.model().model()))
                .filter(deployment -> deployment.versions().contains(key.model().version()))
                .anyMatch(deployment ->
                        key.adapter().map(deployment.adapters()::contains).orElse(true));
    }

    /** Forwards the request to the model's home; returns empty if this node is the home or the home does not answer. */
    private Optional<LoadAnswer> askHome(LoadRequest request, LoadKey key) {
        LoadRequest forwarded = new LoadRequest(request);
        forwarded.setHops(HOPS_HOME);
        return homes.home(key)
                .filter(home -> !home.equals(homes.self()))
                .flatMap(homes::address)
                .flatMap(address -> call(address, forwarded));
    }

    /** Sends a load request to another coordinator; returns empty if it does not answer. */
    private Optional<LoadAnswer> call(String address, LoadRequest request) {
        Map<String, String> trace = Tracing.currentHeaders();
        try {
            return Optional.of(
                    peers.call(PeerAddress.parse(address), CALL_TIMEOUT_MS, client -> client.load(request, trace)));
        } catch (WireException e) {
            return Optional.empty();
        }
    }

    /** Plans the requests for a model one at a time, so that each sees the loads ordered by those before it. */
    private LoadAnswer planAndOrder(LoadRequest request, LoadKey key) {
        Object planLock = planLocks.computeIfAbsent(key.model().model(), ignored -> new Object());
        synchronized (planLock) {
            return planLocked(request, key);
        }
    }

    /** Plans and orders one request while the caller holds the lock of its model. */
    private LoadAnswer planLocked(LoadRequest request, LoadKey key) {
        Optional<LoadSizes> sizes = catalogueCache.sizes(key);
        if (sizes.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_STORE, "the weight store's catalogue has no " + key);
        }
        Demand demand =
                new Demand(key, request.getZone(), region(request.getZone()), request.getReplicasWanted(), sizes.get());
        List<RunnerView> views = view.runners();
        List<LoadAnswer> pendingLoads = confirmedPendingLoads(request, key, views);
        if (key.adapter().isPresent() && !pendingLoads.isEmpty()) {
            return pendingLoads.get(0);
        }
        List<RunnerView> runnersWithPending = withPending(views, pendingLoads, key, sizes.get());
        int cap = feed.current().configuration().replicaCap(key.model().model());
        LoadAnswer answer = planWithRetries(request, demand, runnersWithPending, cap);
        if (answer.getResult() == LoadResult.REFUSED_CAP || answer.getResult() == LoadResult.REFUSED_OWNER) {
            answer = askSlotHolders(request, key).orElse(answer);
        }
        String runner = answer.getRunner();
        if (pendingLoads.stream().noneMatch(pending -> pending.getRunner().equals(runner))) {
            recentLoads.add(key, answer);
        }
        return answer;
    }

    /**
     * Returns the recent loads that no runner announces yet. Where the last confirmation is some time ago, the owner is
     * asked again, because a load that waits in a runner's queue may still be dropped there.
     */
    private List<LoadAnswer> confirmedPendingLoads(LoadRequest request, LoadKey key, List<RunnerView> views) {
        List<LoadAnswer> pendingLoads = recentLoads.pending(key, views);
        List<String> unconfirmedRunners = recentLoads.unconfirmedRunners(key);
        for (String runner : unconfirmedRunners) {
            boolean confirmed = view.status(runner)
                    .map(status -> orderOnRunner(request, key, runner, status.getOwnerNode()))
                    .filter(LoadAnswers::isAccepted)
                    .isPresent();
            if (confirmed) {
                recentLoads.confirm(key, runner);
            } else {
                recentLoads.remove(key, runner);
            }
        }
        return unconfirmedRunners.isEmpty() ? pendingLoads : recentLoads.pending(key, views);
    }

    /**
     * Plans and orders until a runner accepts or a round finds no further runner short of memory. Announced states lag,
     * so an owner may refuse for memory; the next round plans without its runner.
     */
    private LoadAnswer planWithRetries(LoadRequest request, Demand demand, List<RunnerView> runnerViews, int cap) {
        Set<String> withoutMemory = new HashSet<>();
        List<RunnerView> views = runnerViews;
        while (true) {
            int withoutMemoryBefore = withoutMemory.size();
            LoadAnswer answer = execute(request, demand.key(), LoadPlanner.plan(demand, views, cap), withoutMemory);
            if (LoadAnswers.isAccepted(answer) || withoutMemory.size() == withoutMemoryBefore) {
                return answer;
            }
            views = runnerViews.stream()
                    .map(runner -> withoutMemory.contains(runner.runner()) ? markWithoutMemory(runner, demand) : runner)
                    .toList();
        }
    }

    /**
     * Marks a runner as out of memory. It was granted a slot before it refused, and holds it until the slot is moved.
     */
    private static RunnerView markWithoutMemory(RunnerView runner, Demand demand) {
        return runner.withoutFreeableMemory().withSlot(demand.key().model());
    }

    /** Carries out a plan; adds runners whose owners refuse for memory to the given set. */
    private LoadAnswer execute(LoadRequest request, LoadKey key, LoadPlan plan, Set<String> withoutMemory) {
        return switch (plan) {
            case LoadPlan.Ready ready ->
                LoadAnswers.of(LoadResult.LOADED, ready.runner().runner());
            case LoadPlan.Underway underway -> {
                LoadAnswer loading =
                        LoadAnswers.of(LoadResult.LOADING, underway.runner().runner());
                loading.setReadyInMs(underway.readyInMs());
                yield loading;
            }
            case LoadPlan.Order order -> orderOnFirst(request, key, order.runners(), withoutMemory);
            case LoadPlan.MoveSlot move -> moveSlotAndOrder(request, key, move, withoutMemory);
            case LoadPlan.Refuse refuse -> LoadAnswers.refusal(refuse.result(), refuse.reason());
        };
    }

    /** Orders from the recorded owners of the slot holders, which announced states may not show yet. */
    private Optional<LoadAnswer> askSlotHolders(LoadRequest request, LoadKey key) {
        return slotHolders.of(key.model()).stream()
                .map(holder -> orderOnRunner(request, key, holder.runner(), holder.owner()))
                .filter(LoadAnswers::isAccepted)
                .findFirst();
    }

    /** Returns the runners with the pending loads of a key added to those that were ordered to load it. */
    private static List<RunnerView> withPending(
            List<RunnerView> runners, List<LoadAnswer> pendingLoads, LoadKey key, LoadSizes sizes) {
        Set<String> orderedRunners =
                pendingLoads.stream().map(LoadAnswer::getRunner).collect(Collectors.toSet());
        return runners.stream()
                .map(runner -> orderedRunners.contains(runner.runner())
                        ? runner.withLoading(key.model(), sizes.baseBytes())
                        : runner)
                .toList();
    }

    /** Returns the region of a zone, or this node's region if no member is in the zone. */
    private String region(String zone) {
        return view.membership().members().stream()
                .filter(member -> member.locality().zone().equals(zone))
                .map(member -> member.locality().region())
                .findFirst()
                .orElse(view.membership().self().locality().region());
    }

    /** Has one idle slot given back and orders the load on another runner; refuses if no owner gives one back. */
    private LoadAnswer moveSlotAndOrder(
            LoadRequest request, LoadKey key, LoadPlan.MoveSlot move, Set<String> withoutMemory) {
        String model = key.model().model();
        for (RunnerView holder : move.holders()) {
            if (releaseSlot(holder, model)) {
                return orderOnFirst(request, key, move.runners(), withoutMemory);
            }
        }
        return LoadAnswers.refusal(LoadResult.REFUSED_CAP, "no owner gave an idle slot of " + model + " back");
    }

    /** Has a runner's owner give back an idle slot of a model; returns false also if it has left or does not answer. */
    private boolean releaseSlot(RunnerView holder, String model) {
        Optional<RunnerAgent> localAgent = runners.agent(holder.runner());
        Optional<String> owner = homes.address(holder.status().getOwnerNode());
        try {
            if (localAgent.isPresent()) {
                return localAgent.get().releaseIdleSlot(model).get(AGENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            return owner.isPresent()
                    && peers.call(
                            PeerAddress.parse(owner.get()),
                            CALL_TIMEOUT_MS,
                            client -> client.releaseSlot(holder.runner(), model));
        } catch (WireException | ExecutionException | TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Orders the load on the first candidate that accepts it; adds those that refuse for memory to the given set. */
    private LoadAnswer orderOnFirst(
            LoadRequest request, LoadKey key, List<RunnerView> candidates, Set<String> withoutMemory) {
        LoadAnswer lastAnswer = LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "no owner answers");
        for (RunnerView candidate : candidates) {
            LoadAnswer answer = orderOnRunner(
                    request, key, candidate.runner(), candidate.status().getOwnerNode());
            if (LoadAnswers.isAccepted(answer)) {
                return answer;
            }
            if (answer.getResult() == LoadResult.REFUSED_MEMORY) {
                withoutMemory.add(candidate.runner());
            }
            lastAnswer = answer;
        }
        return lastAnswer;
    }

    /** Orders the load on a runner of this node, or forwards it to the given owner. */
    private LoadAnswer orderOnRunner(LoadRequest request, LoadKey key, String runner, String owner) {
        if (runners.agent(runner).isPresent()) {
            return orderOnOwnedRunner(request, key, runner);
        }
        LoadRequest forwarded = new LoadRequest(request);
        forwarded.setHops(HOPS_OWNER);
        forwarded.setRunner(runner);
        return homes.address(owner)
                .flatMap(address -> call(address, forwarded))
                .orElseGet(() -> LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "owner " + owner + " does not answer"));
    }

    /** Orders the load from this node's agent of the runner; an agent that is slow to answer counts as loading. */
    private LoadAnswer orderOnOwnedRunner(LoadRequest request, LoadKey key, String runner) {
        Optional<RunnerAgent> agent = runners.agent(runner);
        Optional<LoadSizes> sizes = catalogueCache.sizes(key);
        if (agent.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "runner " + runner + " is not owned here");
        }
        if (sizes.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_STORE, "the weight store's catalogue has no " + key);
        }
        try {
            return agent.get()
                    .load(key, request.getSlackMs(), sizes.get())
                    .get(AGENT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return LoadAnswers.of(LoadResult.LOADING, runner);
        } catch (ExecutionException e) {
            return LoadAnswers.refusal(LoadResult.REFUSED_FAILED, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "the coordinator stops");
        }
    }
}
