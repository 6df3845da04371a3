package io.persimmonstack.coordinator.load;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.ShareTrade;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Permits that keep the fleet within the weight store's limits: concurrent loads, loads per second, and adapters in
 * flight. The permits of each limit are divided among the live nodes; a node without a free one borrows from the
 * others. Thread-safe.
 */
public final class StorePermits {
    private static final String LOADS_LIMIT = "store-loads";
    private static final String ADAPTERS_LIMIT = "store-adapters";
    private static final int CALL_TIMEOUT_MS = 500;
    /** A borrowed permit goes back to its lender after it was unused for this long. */
    private static final long RETURN_UNUSED_AFTER_MS = 1_000;

    private static final double MS_PER_SECOND = 1_000;

    /**
     * One limit of the weight store.
     *
     * @param share permits of this node
     * @param borrowing whether an attempt to borrow from another node is running
     */
    private record Limit(LimitShare share, AtomicBoolean borrowing) {}

    private final FleetView view;
    private final WeightCatalogueCache catalogueCache;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final String self;
    private final Map<String, Limit> limits;

    private StorePermits(
            FleetView view,
            WeightCatalogueCache catalogueCache,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        this.view = view;
        this.catalogueCache = catalogueCache;
        this.peers = peers;
        this.time = time;
        this.self = view.membership().self().node();
        this.limits = Map.of(LOADS_LIMIT, limit(LOADS_LIMIT), ADAPTERS_LIMIT, limit(ADAPTERS_LIMIT));
    }

    private Limit limit(String name) {
        return new Limit(LimitShare.of(name, self), new AtomicBoolean());
    }

    /**
     * Creates the permits of a node.
     *
     * @param view state of the fleet
     * @param catalogueCache catalogue of the weight store, which states its limits
     * @param peers connections to coordinators
     * @param time clocks
     * @return the permits
     */
    public static StorePermits of(
            FleetView view,
            WeightCatalogueCache catalogueCache,
            ThriftPeers<Coordinator.Client> peers,
            TimeSource time) {
        return new StorePermits(view, catalogueCache, peers, time);
    }

    /**
     * Acquires a permit for a load from the weight store. Does not block: without a free permit it starts an attempt to
     * borrow one in the background, and the caller tries again later.
     *
     * @param key model or adapter to be loaded
     * @return the permit, or empty if none is free
     */
    public Optional<LimitShare.Permit> tryAcquire(LoadKey key) {
        Limit limit = limits.get(limitName(key));
        resize(limit.share());
        Optional<LimitShare.Permit> permit = limit.share().tryAcquire(time.currentTimeMillis());
        if (permit.isEmpty() && limit.borrowing().compareAndSet(false, true)) {
            Thread.ofVirtual().name("borrow").start(() -> borrow(limit));
        }
        return permit;
    }

    /**
     * Releases the permit of a load that has ended.
     *
     * @param key model or adapter that was loaded
     * @param permit permit of the load
     */
    public void release(LoadKey key, LimitShare.Permit permit) {
        limits.get(limitName(key)).share().release(permit, time.currentTimeMillis());
    }

    private static String limitName(LoadKey key) {
        return key.adapter().isPresent() ? ADAPTERS_LIMIT : LOADS_LIMIT;
    }

    private int totalPermits(LimitShare share) {
        return catalogueCache
                .catalogue()
                .map(catalogue ->
                        share.limit().equals(LOADS_LIMIT) ? catalogue.fullSpeedLoads() : catalogue.adaptersInFlight())
                .orElse(0);
    }

    /**
     * Returns the minimum time between two uses of one permit, 0 if the rate is not limited. Each permit allows (loads
     * per second / permits) loads per second, so that all permits together keep the store's rate.
     */
    private long intervalMs(LimitShare share) {
        double perSecond =
                catalogueCache.catalogue().map(WeightCatalogue::loadsPerSecond).orElse(0.0);
        boolean limited = share.limit().equals(LOADS_LIMIT) && perSecond > 0;
        return limited ? (long) Math.ceil(totalPermits(share) / perSecond * MS_PER_SECOND) : 0;
    }

    /**
     * Recomputes this node's share from the live members; a node that may be partitioned off keeps its earlier share.
     */
    private void resize(LimitShare share) {
        Set<String> live = view.liveMembers().keySet();
        if (!isMinority(live.size())) {
            share.resize(totalPermits(share), intervalMs(share), live, time.currentTimeMillis());
        }
    }

    /**
     * Returns whether this node may be partitioned off: at most half of the known members that the host list does
     * not report as gone are alive.
     */
    private boolean isMinority(int liveMembers) {
        Map<String, Host> entries = view.hosts().entries();
        long expectedMembers = view.membership().members().stream()
                .filter(member -> !Optional.ofNullable(entries.get(member.node()))
                        .map(Host::state)
                        .equals(Optional.of(HostState.GONE)))
                .count();
        return expectedMembers > 1 && liveMembers * 2L <= expectedMembers;
    }

    /** Asks the other nodes with a share, one after the other, for a permit until one lends it. */
    private void borrow(Limit limit) {
        try {
            Map<String, Member<NodeAttributes>> live = view.liveMembers();
            Set<String> lenders = limit.share()
                    .allocate(totalPermits(limit.share()), live.keySet())
                    .keySet();
            for (String lender : lenders) {
                if (!lender.equals(self) && trade(limit.share(), live.get(lender), 1) > 0) {
                    limit.share().recordBorrowed(lender, time.currentTimeMillis());
                    return;
                }
            }
        } finally {
            limit.borrowing().set(false);
        }
    }

    /** Sends a trade to a lender; returns the number of permits lent, 0 if the call failed. */
    private long trade(LimitShare share, Member<NodeAttributes> lender, long wanted) {
        ShareTrade trade = new ShareTrade(share.limit(), self, wanted, 0);
        try {
            return peers.call(PeerAddress.parse(lender.address()), CALL_TIMEOUT_MS, client -> client.tradeShare(trade))
                    .getGiven();
        } catch (WireException e) {
            return 0;
        }
    }

    /**
     * Adjusts the shares to the live members and returns borrowed permits that are no longer in use; called
     * periodically.
     */
    public void rebalance() {
        Map<String, Member<NodeAttributes>> live = view.liveMembers();
        for (Limit limit : limits.values()) {
            resize(limit.share());
            for (String lender : limit.share().pollDueReturns(time.currentTimeMillis(), RETURN_UNUSED_AFTER_MS)) {
                Optional.ofNullable(live.get(lender)).ifPresent(member -> trade(limit.share(), member, -1));
            }
        }
    }

    /**
     * Handles the request of another node to borrow or to return a permit.
     *
     * @param trade limit and node; wanted is 1 to borrow a permit and -1 to return one
     * @return number of permits lent, 0 or 1
     */
    public long handleTrade(ShareTrade trade) {
        Limit limit = limits.get(trade.getLimit());
        if (limit == null) {
            return 0;
        }
        if (trade.getWanted() < 0) {
            limit.share().recordReturned(trade.getNode());
            return 0;
        }
        resize(limit.share());
        return limit.share().lend(trade.getNode(), time.currentTimeMillis()) ? 1 : 0;
    }
}
