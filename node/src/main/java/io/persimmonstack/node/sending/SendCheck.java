package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.streams.StreamOrigin;
import java.util.Optional;

/**
 * Last check before a request is sent to the runner that was chosen for it: what the runner has said about itself
 * meanwhile and, for the rest of a stream, whether the processes are those that the entries describe. Thread-safe.
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
     * @param fleet knows the runners and what they said about themselves
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
        return switch (processes.ask(runner, timeoutMs)) {
            case ProcessAnswer.Expected expected -> Optional.empty();
            case ProcessAnswer.Other other -> Optional.of("process not confirmed: " + other);
            case ProcessAnswer.None none -> Optional.of("process not confirmed: " + none.cause());
        };
    }

    /**
     * Returns why the software version that began a stream is in doubt; empty if it is not. The entry by which the
     * version was told may have been that of an earlier process: a runner that came back with other software serves new
     * streams before its entry tells so. A runner that is gone cannot be asked; its entry is then relied on.
     *
     * @param origin where the stream began
     * @param timeoutMs timeout for the runner that sent the first event, in milliseconds
     */
    Optional<String> doubtAbout(OriginRecorder origin, int timeoutMs) {
        Optional<StreamOrigin> known = origin.unproven();
        Optional<RunnerProcess> process = known.flatMap(StreamOrigin::process);
        Optional<Runner> listed = process.map(began -> fleet.current().runners().get(began.runner()));
        if (listed.isEmpty()) {
            return Optional.empty();
        }
        Runner runner = listed.get();
        if (!runner.process().equals(process.get())) {
            return runner.softwareVersion().equals(known.get().softwareVersion())
                    ? Optional.empty()
                    : Optional.of(runner.id() + " came back at " + runner.softwareVersion());
        }
        return switch (processes.ask(runner, timeoutMs)) {
            case ProcessAnswer.Expected expected -> {
                origin.prove();
                yield Optional.empty();
            }
            case ProcessAnswer.Other other -> Optional.of(runner.id() + " came back: " + other);
            case ProcessAnswer.None none -> Optional.empty();
        };
    }
}
