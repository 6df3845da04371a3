package io.persimmonstack.standin.hosts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Host in the host list. It keeps its past states so that the list can lag behind. Thread-safe. */
public final class ListedHost {
    /** Number of state changes kept; a list that lags further behind reports the initial state. */
    private static final int MAX_STATE_CHANGES = 100;

    /** Host as it was added, in its initial state. */
    private final Body description;

    private final Optional<HostedTarget> hostedTarget;
    private final Deque<StateChange> stateHistory = new ArrayDeque<>();

    private ListedHost(Body description, Optional<HostedTarget> hostedTarget) {
        this.description = description;
        this.hostedTarget = hostedTarget;
    }

    /** Returns a live host that forwards later state changes to the given target. */
    public static ListedHost live(Body description, Optional<HostedTarget> hostedTarget) {
        return new ListedHost(description, hostedTarget);
    }

    /**
     * JSON object of a host in the list.
     *
     * @param host name of the host
     * @param kind {@code entry}, {@code runner} or {@code service}
     * @param state {@code live}, {@code leaving} or {@code gone}
     * @param address IP address and port
     * @param zone availability zone
     * @param region region
     * @param service name of the plain service, null for hosts of other kinds
     * @param epochs whether the engine rejects stale fencing tokens, null for hosts of other kinds
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

    /** Change of the state at a value of {@link System#nanoTime()}. */
    private record StateChange(long changedNanos, String state) {}

    String name() {
        return description.host();
    }

    /** Changes the state and forwards it to the target immediately. */
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

    /** Returns the host with the state that it had the given number of milliseconds ago. */
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
