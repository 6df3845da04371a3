package io.persimmonstack.node.sending;

import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.node.streams.StreamOrigin;
import java.util.Optional;

/**
 * Knows where the stream of one request began, from its first event on, and keeps it in the directory while the stream
 * is delivered. Not thread-safe.
 */
final class OriginRecorder implements AutoCloseable {
    /** Time after the deadline of a request in which its caller may still resume the stream, in milliseconds. */
    private static final long RESUMABLE_AFTER_DEADLINE_MS = 10_000;

    private final OriginDirectory directory;
    private final ActiveRequest request;
    private Optional<StreamOrigin> origin;
    private Optional<OriginDirectory.KeptOrigin> kept = Optional.empty();
    private boolean proven;

    private OriginRecorder(OriginDirectory directory, ActiveRequest request) {
        this.directory = directory;
        this.request = request;
        this.origin = request.origin();
    }

    /** Returns the recorder of a request that has delivered no event yet. */
    static OriginRecorder of(OriginDirectory directory, ActiveRequest request) {
        return new OriginRecorder(directory, request);
    }

    /** Returns the only software version at which the stream may go on, empty before its first event. */
    Optional<String> softwareVersion() {
        return origin.map(StreamOrigin::softwareVersion);
    }

    /** Returns where the stream began, empty before its first event and once its process has been proven. */
    Optional<StreamOrigin> unproven() {
        return proven ? Optional.empty() : origin;
    }

    /** Records that the process that began the stream is the one that the origin names. */
    void prove() {
        proven = true;
    }

    /** Records that an event of a runner is about to be delivered. */
    void beforeEvent(Runner runner) {
        if (kept.isPresent()) {
            return;
        }
        StreamOrigin known = origin.orElseGet(() ->
                new StreamOrigin(request.service().name(), runner.softwareVersion(), Optional.of(runner.process())));
        origin = Optional.of(known);
        if (request.route().isIdempotent()) {
            kept = Optional.of(directory.keep(firstRequest(), known, validMs()));
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
        kept.ifPresent(OriginDirectory.KeptOrigin::close);
    }
}
