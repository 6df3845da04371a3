package io.persimmonstack.coordinator.load;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.backends.weights.WeightCatalogue;
import io.persimmonstack.coordination.limit.LimitShare;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Weights;
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
 * Permits of the weight store's limits: loads at once and a second, and adapters in flight. A node that has none free
 * borrows from those that the limits were dealt out to.
 */
public final class StorePermits {
    private static final String LOADS = "store-loads";
    private static final String ADAPTERS = "store-adapters";
    private static final int CALL_TIMEOUT_MS = 500;
    private static final long UNUSED_MS = 1_000;
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Limit with the attempt to borrow from others.
     *
     * @param share permits of this node
     * @param borrowing whether an attempt is running
     */
    private record Limit(LimitShare share, AtomicBoolean borrowing) {}

    private final FleetView view;
    private final Weights weights;
    private final ThriftPeers<Coordinator.Client> peers;
    private final TimeSource time;
    private final String self;
    private final Map<String, Limit> limits;

    private StorePermits(FleetView view, Weights weights, ThriftPeers<Coordinator.Client> peers, TimeSource time) {
        this.view = view;
        this.weights = weights;
        this.peers = peers;
        this.time = time;
        this.self = view.membership().self().node();
        this.limits = Map.of(LOADS, limit(LOADS), ADAPTERS, limit(ADAPTERS));
    }

    private Limit limit(String name) {
        return new Limit(LimitShare.of(name, self), new AtomicBoolean());
    }

    /**
     * Creates the permits of a node.
     *
     * @param view state of the fleet
     * @param weights catalogue with the limits
     * @param peers connections to coordinators
     * @param time clocks
     * @return the permits
     */
    public static StorePermits of(
            FleetView view, Weights weights, ThriftPeers<Coordinator.Client> peers, TimeSource time) {
        return new StorePermits(view, weights, peers, time);
    }

    /**
     * Begins a load from the store.
     *
     * @param key what is to be loaded
     * @return the permit, or empty while there is none; then one is being borrowed
     */
    public Optional<LimitShare.Permit> tryAcquire(LoadKey key) {
        Limit limit = limits.get(name(key));
        resize(limit.share());
        Optional<LimitShare.Permit> permit = limit.share().tryAcquire(time.currentTimeMillis());
        if (permit.isEmpty() && limit.borrowing().compareAndSet(false, true)) {
            Thread.ofVirtual().name("borrow").start(() -> borrow(limit));
        }
        return permit;
    }

    /**
     * Ends a load.
     *
     * @param key what was loaded
     * @param permit its permit
     */
    public void release(LoadKey key, LimitShare.Permit permit) {
        limits.get(name(key)).share().release(permit, time.currentTimeMillis());
    }

    private static String name(LoadKey key) {
        return key.adapter().isPresent() ? ADAPTERS : LOADS;
    }

    private int total(LimitShare share) {
        return weights.catalogue()
                .map(catalogue ->
                        share.limit().equals(LOADS) ? catalogue.fullSpeedLoads() : catalogue.adaptersInFlight())
                .orElse(0);
    }

    /** A permit begins at most (loads a second / permits) loads a second, so that all keep the store's rate. */
    private long intervalMs(LimitShare share) {
        double perSecond =
                weights.catalogue().map(WeightCatalogue::loadsPerSecond).orElse(0.0);
        boolean limited = share.limit().equals(LOADS) && perSecond > 0;
        return limited ? (long) Math.ceil(total(share) / perSecond * MS_PER_SECOND) : 0;
    }

    /** Deals the permits out anew, unless this node may be cut off: then it keeps the share that it had. */
    private void resize(LimitShare share) {
        Set<String> live = view.liveMembers().keySet();
        if (!isMinority(live.size())) {
            share.resize(total(share), intervalMs(share), live, time.currentTimeMillis());
        }
    }

    /** Returns whether no more than half of the members are alive that are known and not listed as gone. */
    private boolean isMinority(int live) {
        Map<String, Host> entries = view.hosts().entries();
        long known = view.membership().members().stream()
                .filter(member -> !Optional.ofNullable(entries.get(member.node()))
                        .map(Host::state)
                        .equals(Optional.of(HostState.GONE)))
                .count();
        return known > 1 && live * 2L <= known;
    }

    private void borrow(Limit limit) {
        try {
            Map<String, Member<NodeAttributes>> live = view.liveMembers();
            Set<String> lenders =
                    limit.share().allocate(total(limit.share()), live.keySet()).keySet();
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

    private long trade(LimitShare share, Member<NodeAttributes> lender, long wanted) {
        ShareTrade trade = new ShareTrade(share.limit(), self, wanted, 0);
        try {
            return peers.call(PeerAddress.parse(lender.address()), CALL_TIMEOUT_MS, client -> client.tradeShare(trade))
                    .getGiven();
        } catch (WireException e) {
            return 0;
        }
    }

    /** Deals permits out as the members are now, and gives borrowed ones back whose use has ended. */
    public void settle() {
        Map<String, Member<NodeAttributes>> live = view.liveMembers();
        for (Limit limit : limits.values()) {
            resize(limit.share());
            for (String lender : limit.share().pollDueReturns(time.currentTimeMillis(), UNUSED_MS)) {
                Optional.ofNullable(live.get(lender)).ifPresent(member -> trade(limit.share(), member, -1));
            }
        }
    }

    /**
     * Answers a node that wants a permit or gives one back.
     *
     * @param trade 1 permit wanted, or -1 given back
     * @return permits lent
     */
    public long answer(ShareTrade trade) {
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
