package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.streams.StreamOrigin;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Last check before a request is sent to the runner that was chosen for it: what the runner has said about itself
 * meanwhile and, for the rest of a stream, whether the processes are those that the entries describe. Thread-safe.
 */
final class SendCheck {
    /** Number of replaced processes that are remembered; the oldest are dropped beyond it. */
    private static final int MAX_REPLACED = 1_024;

    private final FleetView fleet;
    private final ProcessCheck processes;
    /** Processes in whose place another one has answered. */
    private final Set<RunnerProcess> replaced =
            Collections.newSetFromMap(Collections.synchronizedMap(new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RunnerProcess, Boolean> eldest) {
                    return size() > MAX_REPLACED;
                }
            }));

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
        return origin.softwareVersion().isEmpty() ? Optional.empty() : unconfirmed(runner, timeoutMs);
    }

    /**
     * Returns why it is not known that a runner answers now and is the process of its entry; empty if it does.
     *
     * @param runner expected process
     * @param timeoutMs timeout for the runner to confirm its process, in milliseconds
     */
    Optional<String> unconfirmed(Runner runner, int timeoutMs) {
        return switch (ask(runner, timeoutMs)) {
            case ProcessAnswer.Expected expected -> Optional.empty();
            case ProcessAnswer.Other other -> Optional.of("process not confirmed: " + other);
            case ProcessAnswer.Unreachable unreachable -> Optional.of("process not confirmed: " + unreachable.cause());
            case ProcessAnswer.Silent silent -> Optional.of("process not confirmed: " + silent.cause());
        };
    }

    private ProcessAnswer ask(Runner runner, int timeoutMs) {
        ProcessAnswer answer = processes.ask(runner, timeoutMs);
        if (answer instanceof ProcessAnswer.Other) {
            replaced.add(runner.process());
        }
        return answer;
    }

    /**
     * Returns why the software version that began a stream is in doubt; empty if it is not. The entry by which the
     * version was told may have been that of an earlier process: a runner that came back with other software serves new
     * streams before its entry tells so. A runner that has ended cannot be asked; its entry is then relied on.
     *
     * @param origin where the stream began
     * @param silent runner that is known to be silent and is therefore not asked, empty if there is none
     * @param timeoutMs timeout for the runner that sent the first event, in milliseconds
     */
    Optional<String> doubtAbout(OriginRecorder origin, Optional<Runner> silent, int timeoutMs) {
        Optional<StreamOrigin> known = origin.unproven();
        Optional<RunnerProcess> process = known.flatMap(StreamOrigin::process);
        if (process.isEmpty()) {
            return Optional.empty();
        }
        Optional<Runner> listed =
                Optional.ofNullable(fleet.current().runners().get(process.get().runner()));
        boolean listedLater = listed.isPresent() && !listed.get().process().equals(process.get());
        if (listedLater) {
            return listed.get().softwareVersion().equals(known.get().softwareVersion())
                    ? Optional.empty()
                    : Optional.of(
                            process.get() + " came back at " + listed.get().softwareVersion());
        }
        if (replaced.contains(process.get())) {
            return Optional.of(process.get() + " has been replaced");
        }
        boolean asked = listed.isPresent()
                && silent.map(Runner::process).filter(process.get()::equals).isEmpty();
        return asked ? doubtAfterAsking(listed.get(), origin, timeoutMs) : Optional.empty();
    }

    private Optional<String> doubtAfterAsking(Runner began, OriginRecorder origin, int timeoutMs) {
        return switch (ask(began, timeoutMs)) {
            case ProcessAnswer.Expected expected -> {
                origin.prove();
                yield Optional.empty();
            }
            case ProcessAnswer.Other other -> Optional.of(began.id() + " came back: " + other);
            case ProcessAnswer.Unreachable unreachable -> Optional.empty();
            case ProcessAnswer.Silent silent -> Optional.of(began.id() + " is silent: " + silent.cause());
        };
    }
}
