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
import io.persimmonstack.coordinator.view.Weights;
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
 * Answers demands for models. Each model has a home node, preferred by rendezvous hashing, where the demands of all
 * routers meet, so that a burst becomes one load; the home passes the load on to the owner of the chosen runner.
 */
public final class LoadDesk {
    private static final EventLog LOG = EventLog.of(LoadDesk.class);
    private static final int HOPS_HOME = 1;
    private static final int HOPS_OWNER = 2;
    private static final int CALL_TIMEOUT_MS = 3_000;
    private static final int ORDER_TIMEOUT_MS = 2_500;
    private static final long RETRY_AFTER_MS = 1_000;

    private final FleetView view;
    private final ModelHomes homes;
    private final Runners runners;
    private final Weights weights;
    private final ConfigurationFeed<FleetConfiguration> feed;
    private final ThriftPeers<Coordinator.Client> peers;
    private final MetricRegistry metrics;
    private final SlotHolders holders;
    private final RecentLoads recent = new RecentLoads();
    private final Map<String, Object> planning = new ConcurrentHashMap<>();

    private LoadDesk(
            FleetView view,
            Runners runners,
            Weights weights,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            SlotHolders holders,
            MetricRegistry metrics) {
        this.view = view;
        this.homes = new ModelHomes(view);
        this.runners = runners;
        this.weights = weights;
        this.feed = feed;
        this.peers = peers;
        this.holders = holders;
        this.metrics = metrics;
    }

    /**
     * Creates the desk.
     *
     * @param view state of the fleet
     * @param runners runners that this node owns
     * @param weights sizes of models
     * @param feed configuration
     * @param peers connections to coordinators
     * @param records slots and owners in the key-value service
     * @param metrics where results are counted
     * @return the desk
     */
    public static LoadDesk of(
            FleetView view,
            Runners runners,
            Weights weights,
            ConfigurationFeed<FleetConfiguration> feed,
            ThriftPeers<Coordinator.Client> peers,
            GrantReader records,
            MetricRegistry metrics) {
        SlotHolders holders = SlotHolders.of(records, TimeSource.system());
        return new LoadDesk(view, runners, weights, feed, peers, holders, metrics);
    }

    /**
     * Answers a demand.
     *
     * @param request what is wanted, by when and where
     * @return what became of it
     */
    public LoadAnswer load(LoadRequest request) {
        Timer.Context timing = metrics.timer("load.ms").time();
        try {
            LoadAnswer answer = route(request);
            metrics.counter("load.result." + answer.getResult()).inc();
            if (!LoadAnswers.isTaken(answer)) {
                answer.setRetryAfterMs(RETRY_AFTER_MS);
                LOG.write(CoordinatorEvent.LOAD_REFUSED, request.getModel(), answer.getResult(), answer.getReason());
            }
            return answer;
        } finally {
            timing.stop();
        }
    }

    private LoadAnswer route(LoadRequest request) {
        Optional<LoadKey> key = parse(request);
        if (key.isEmpty() || !isServed(key.get())) {
            return LoadAnswers.refusal(LoadResult.REFUSED_UNKNOWN, "no deployment serves " + request.getModel());
        }
        if (request.isSetRunner()) {
            return orderHere(request, key.get(), request.getRunner());
        }
        Optional<LoadAnswer> atHome = request.getHops() < HOPS_HOME ? askHome(request, key.get()) : Optional.empty();
        return atHome.orElseGet(() -> planAndOrder(request, key.get()));
    }

    private static Optional<LoadKey> parse(LoadRequest request) {
        try {
            return Optional.of(
                    new LoadKey(ModelVersion.parse(request.getModel()), Optional.ofNullable(request.getAdapter())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private boolean isServed(LoadKey key) {
        return feed.current().configuration().deployments().stream()
                .filter(deployment -> deployment.model().equals(key.model().model()))
                .filter(deployment -> deployment.versions().contains(key.model().version()))
                .anyMatch(deployment ->
                        key.adapter().map(deployment.adapters()::contains).orElse(true));
    }

    /** Passes the demand on to the model's home; empty where that is this node, or does not answer. */
    private Optional<LoadAnswer> askHome(LoadRequest request, LoadKey key) {
        LoadRequest passedOn = new LoadRequest(request);
        passedOn.setHops(HOPS_HOME);
        return homes.home(key)
                .filter(home -> !home.equals(homes.self()))
                .flatMap(homes::address)
                .flatMap(address -> call(address, passedOn));
    }

    private Optional<LoadAnswer> call(String address, LoadRequest request) {
        Map<String, String> trace = Tracing.currentHeaders();
        try {
            return Optional.of(
                    peers.call(PeerAddress.parse(address), CALL_TIMEOUT_MS, client -> client.load(request, trace)));
        } catch (WireException e) {
            return Optional.empty();
        }
    }

    /** Plans one demand of a model at a time, so that the next sees the load that this one orders. */
    private LoadAnswer planAndOrder(LoadRequest request, LoadKey key) {
        Object turn = planning.computeIfAbsent(key.model().model(), ignored -> new Object());
        synchronized (turn) {
            return planOnce(request, key);
        }
    }

    private LoadAnswer planOnce(LoadRequest request, LoadKey key) {
        Optional<LoadSizes> sizes = weights.sizes(key);
        if (sizes.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_STORE, "the weight store's catalogue has no " + key);
        }
        Demand demand =
                new Demand(key, request.getZone(), region(request.getZone()), request.getReplicasWanted(), sizes.get());
        List<RunnerView> known = view.runners();
        List<LoadAnswer> pending = recent.pending(key, known);
        if (key.adapter().isPresent() && !pending.isEmpty()) {
            return pending.get(0);
        }
        List<RunnerView> fleet = withPending(known, pending, key, sizes.get());
        int cap = feed.current().configuration().replicaCap(key.model().model());
        LoadAnswer answer = planAmong(request, demand, fleet, cap);
        if (answer.getResult() == LoadResult.REFUSED_CAP || answer.getResult() == LoadResult.REFUSED_OWNER) {
            answer = askHolders(request, key).orElse(answer);
        }
        recent.note(key, answer);
        return answer;
    }

    /** Plans and orders, again without the runners whose owners turn out to have no room, which lagging states hide. */
    private LoadAnswer planAmong(LoadRequest request, Demand demand, List<RunnerView> fleet, int cap) {
        Set<String> full = new HashSet<>();
        List<RunnerView> known = fleet;
        while (true) {
            int fullBefore = full.size();
            LoadAnswer answer = carryOut(request, demand.key(), LoadPlanner.plan(demand, known, cap), full);
            if (LoadAnswers.isTaken(answer) || full.size() == fullBefore) {
                return answer;
            }
            known = fleet.stream()
                    .map(runner -> full.contains(runner.runner()) ? withoutRoom(runner, demand) : runner)
                    .toList();
        }
    }

    /** A runner without room has got a slot of the model before that was seen, and keeps it until it is moved on. */
    private static RunnerView withoutRoom(RunnerView runner, Demand demand) {
        return runner.withoutRoom().withSlot(demand.key().model());
    }

    private LoadAnswer carryOut(LoadRequest request, LoadKey key, LoadPlan plan, Set<String> full) {
        return switch (plan) {
            case LoadPlan.Ready ready ->
                LoadAnswers.of(LoadResult.LOADED, ready.runner().runner());
            case LoadPlan.Underway underway -> {
                LoadAnswer loading =
                        LoadAnswers.of(LoadResult.LOADING, underway.runner().runner());
                loading.setReadyInMs(underway.readyInMs());
                yield loading;
            }
            case LoadPlan.Order order -> orderOnOne(request, key, order.runners(), full);
            case LoadPlan.Move move -> moveAndOrder(request, key, move, full);
            case LoadPlan.Refuse refuse -> LoadAnswers.refusal(refuse.result(), refuse.reason());
        };
    }

    /** Asks the owners on record of the runners that hold the slots, which the announced states may not show yet. */
    private Optional<LoadAnswer> askHolders(LoadRequest request, LoadKey key) {
        return holders.of(key.model()).stream()
                .map(holder -> orderOn(request, key, holder.runner(), holder.owner()))
                .filter(LoadAnswers::isTaken)
                .findFirst();
    }

    private static List<RunnerView> withPending(
            List<RunnerView> runners, List<LoadAnswer> pending, LoadKey key, LoadSizes sizes) {
        Set<String> ordered = pending.stream().map(LoadAnswer::getRunner).collect(Collectors.toSet());
        return runners.stream()
                .map(runner ->
                        ordered.contains(runner.runner()) ? runner.withLoading(key.model(), sizes.baseBytes()) : runner)
                .toList();
    }

    private String region(String zone) {
        return view.membership().members().stream()
                .filter(member -> member.locality().zone().equals(zone))
                .map(member -> member.locality().region())
                .findFirst()
                .orElse(view.membership().self().locality().region());
    }

    private LoadAnswer moveAndOrder(LoadRequest request, LoadKey key, LoadPlan.Move move, Set<String> full) {
        String model = key.model().model();
        for (RunnerView holder : move.holders()) {
            if (releaseSlot(holder, model)) {
                return orderOnOne(request, key, move.runners(), full);
            }
        }
        return LoadAnswers.refusal(LoadResult.REFUSED_CAP, "no owner gave an idle slot of " + model + " back");
    }

    private boolean releaseSlot(RunnerView holder, String model) {
        Optional<RunnerAgent> here = runners.agent(holder.runner());
        try {
            return here.isPresent()
                    ? here.get().releaseIdleSlot(model).get(ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    : peers.call(
                            ownerAddress(holder),
                            CALL_TIMEOUT_MS,
                            client -> client.releaseSlot(holder.runner(), model));
        } catch (WireException | ExecutionException | TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private PeerAddress ownerAddress(RunnerView runner) {
        return PeerAddress.parse(
                view.liveMembers().get(runner.status().getOwnerNode()).address());
    }

    /** Orders the load from the first candidate that takes it; notes those that have no room. */
    private LoadAnswer orderOnOne(LoadRequest request, LoadKey key, List<RunnerView> candidates, Set<String> full) {
        LoadAnswer last = LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "no owner answers");
        for (RunnerView candidate : candidates) {
            LoadAnswer answer =
                    orderOn(request, key, candidate.runner(), candidate.status().getOwnerNode());
            if (LoadAnswers.isTaken(answer)) {
                return answer;
            }
            if (answer.getResult() == LoadResult.REFUSED_MEMORY) {
                full.add(candidate.runner());
            }
            last = answer;
        }
        return last;
    }

    private LoadAnswer orderOn(LoadRequest request, LoadKey key, String runner, String owner) {
        if (runners.agent(runner).isPresent()) {
            return orderHere(request, key, runner);
        }
        LoadRequest passedOn = new LoadRequest(request);
        passedOn.setHops(HOPS_OWNER);
        passedOn.setRunner(runner);
        return homes.address(owner)
                .flatMap(address -> call(address, passedOn))
                .orElseGet(() -> LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "owner " + owner + " does not answer"));
    }

    private LoadAnswer orderHere(LoadRequest request, LoadKey key, String runner) {
        Optional<RunnerAgent> agent = runners.agent(runner);
        Optional<LoadSizes> sizes = weights.sizes(key);
        if (agent.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_OWNER, "runner " + runner + " is not owned here");
        }
        if (sizes.isEmpty()) {
            return LoadAnswers.refusal(LoadResult.REFUSED_STORE, "the weight store's catalogue has no " + key);
        }
        try {
            return agent.get()
                    .load(key, request.getSlackMs(), sizes.get())
                    .get(ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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
