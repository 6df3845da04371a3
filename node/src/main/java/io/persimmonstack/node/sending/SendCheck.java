package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.planning.RunnerControlException;
import java.util.Optional;

/**
 * Last check before a request is sent to the runner that was chosen for it: what the runner has said about itself
 * meanwhile and, for the rest of a stream, whether its process is the expected one. Thread-safe.
 */
final class SendCheck {
    private final FleetView fleet;
    private final ProcessCheck processes;

    private SendCheck(FleetView fleet, ProcessCheck processes) {
        this.fleet = fleet;
        this.processes = processes;
    }

    /**
     * Returns a check.
     *
     * @param fleet knows what runners said about themselves
     * @param processes confirms processes of runners
     */
    static SendCheck of(FleetView fleet, ProcessCheck processes) {
        return new SendCheck(fleet, processes);
    }

    /** Returns why, by its own word, nothing may be sent to a runner now; empty if requests may be sent. */
    Optional<String> withheldBy(Runner runner) {
        return fleet.withholdReason(runner, System.nanoTime());
    }

    /**
     * Returns why the rest of a stream may not be sent to a runner; empty if it may, or if the stream has not begun.
     *
     * @param runner expected process
     * @param origin where the stream began
     * @param timeoutMs timeout for the runner to confirm its process, in milliseconds
     */
    Optional<String> unconfirmed(Runner runner, OriginRecorder origin, int timeoutMs) {
        if (origin.softwareVersion().isEmpty()) {
            return Optional.empty();
        }
        try {
            processes.confirm(runner, timeoutMs);
            return Optional.empty();
        } catch (RunnerControlException e) {
            return Optional.of("process not confirmed: " + e.getMessage());
        }
    }
}
