package io.persimmonstack.standin.hosts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Host with the stateHistory of its state, so that the list can be late. */
public final class ListedHost {
    private static final int MAX_STATE_CHANGES = 100;
    private final Body description;
    private final Optional<HostedTarget> hostedTarget;
    private final Deque<StateChange> stateHistory = new ArrayDeque<>();

    private ListedHost(Body description, Optional<HostedTarget> hostedTarget) {
        this.description = description;
        this.hostedTarget = hostedTarget;
    }

    /** Returns a live host. */
    public static ListedHost live(Body description, Optional<HostedTarget> hostedTarget) {
        return new ListedHost(description, hostedTarget);
    }

    /**
     * Host as the list shows it.
     *
     * @param host name of the host
     * @param kind {@code entry}, {@code runner} or {@code service}
     * @param state {@code live}, {@code leaving} or {@code gone}
     * @param address IP number and port
     * @param zone availability zone
     * @param region region
     * @param service name of the plain service, for its instances
     * @param epochs whether the target checks fencing numbers
     */
    public record Body(
            String host,
            String kind,
            String state,
            String address,
            String zone,
            String region,
            String service,
            Boolean epochs) {
        private Body withState(String newState) {
            return new Body(host, kind, newState, address, zone, region, service, epochs);
        }
    }

    private record StateChange(long changedNanos, String state) {}

    String name() {
        return description.host();
    }

    /** Changes the state; the target follows at once. */
    synchronized void setState(String state) {
        stateHistory.addLast(new StateChange(System.nanoTime(), state));
        if (stateHistory.size() > MAX_STATE_CHANGES) {
            stateHistory.removeFirst();
        }
        hostedTarget.ifPresent(target -> {
            target.setLeaving(state.equals("leaving"));
            target.setGone(state.equals("gone"));
        });
    }

    /** Returns the host as a list of the given age shows it. */
    synchronized Body bodyWithLag(int lagMs) {
        long visibleUntilNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMs);
        for (Iterator<StateChange> latestFirst = stateHistory.descendingIterator(); latestFirst.hasNext(); ) {
            StateChange change = latestFirst.next();
            if (change.changedNanos() - visibleUntilNanos <= 0) {
                return description.withState(change.state());
            }
        }
        return description;
    }
}
