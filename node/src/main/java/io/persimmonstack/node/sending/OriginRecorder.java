package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.node.streams.StreamOrigin;
import java.util.Optional;

/**
 * Knows where the stream of one request began, from its first event on, and keeps it in the directory while the stream
 * is delivered. The software version is that of the entry that describes the process, which may be read later than the
 * first event. Not thread-safe.
 */
final class OriginRecorder implements AutoCloseable {
    /** Time after the deadline of a request in which its caller may still resume the stream, in milliseconds. */
    private static final long RESUMABLE_AFTER_DEADLINE_MS = 10_000;

    private final OriginDirectory directory;
    private final FleetView fleet;
    private final ActiveRequest request;
    private boolean begun;
    private Optional<RunnerProcess> firstProcess = Optional.empty();
    private Optional<StreamOrigin> origin;
    private Optional<OriginDirectory.KeptOrigin> kept = Optional.empty();

    private OriginRecorder(OriginDirectory directory, FleetView fleet, ActiveRequest request) {
        this.directory = directory;
        this.fleet = fleet;
        this.request = request;
        this.origin = request.origin();
        this.begun = request.origin().isPresent();
    }

    /**
     * Returns the recorder of a request that has delivered no event yet.
     *
     * @param directory keeps the origin
     * @param fleet knows the software versions of processes
     * @param request request being served
     */
    static OriginRecorder of(OriginDirectory directory, FleetView fleet, ActiveRequest request) {
        return new OriginRecorder(directory, fleet, request);
    }

    /** Returns whether the stream has begun, here or with the request that this one resumes. */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns the only software version at which the stream may go on; empty before its first event, and while no entry
     * tells the version of the process that sent it.
     */
    Optional<String> softwareVersion() {
        if (origin.isEmpty()) {
            origin = firstProcess
                    .flatMap(process -> fleet.current().softwareVersion(process))
                    .map(version -> new StreamOrigin(request.service().name(), version));
        }
        return origin.map(StreamOrigin::softwareVersion);
    }

    /**
     * Records that an event is about to be delivered.
     *
     * @param process process that sent it, empty if it is not known
     */
    void beforeEvent(Optional<RunnerProcess> process) {
        if (!begun) {
            begun = true;
            firstProcess = process;
        }
        keepOnceKnown();
    }

    /** Records that the stream was delivered to its end. */
    void complete() {
        kept.ifPresent(OriginDirectory.KeptOrigin::complete);
    }

    private void keepOnceKnown() {
        if (kept.isEmpty()
                && request.route().isIdempotent()
                && softwareVersion().isPresent()) {
            kept = Optional.of(directory.keep(firstRequest(), origin.get(), validMs()));
        }
    }

    /** Returns the identifier of the request that brought the first event, by which the caller resumes the stream. */
    private String firstRequest() {
        CallerRequest callerRequest = request.callerRequest();
        return request.origin().isPresent()
                ? callerRequest.resumedRequest().orElse(callerRequest.id())
                : callerRequest.id();
    }

    private long validMs() {
        return Math.max(0, request.remainingMs(System.nanoTime())) + RESUMABLE_AFTER_DEADLINE_MS;
    }

    @Override
    public void close() {
        if (firstProcess.isPresent()) {
            keepOnceKnown();
        }
        if (begun && request.route().isIdempotent() && softwareVersion().isEmpty()) {
            directory.recordUntold(request.service().name());
        }
        kept.ifPresent(OriginDirectory.KeptOrigin::close);
    }
}
