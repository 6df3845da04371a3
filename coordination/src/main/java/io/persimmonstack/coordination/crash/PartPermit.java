package io.persimmonstack.coordination.crash;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;

/**
 * Permission to send a request once, which learns how that goes. The turn of a suspected request ends when its answer
 * begins or the permit is closed. Not thread-safe.
 */
public final class PartPermit implements AutoCloseable {
    private final PartGuard guard;
    private final List<String> parts;
    private final long admittedNanos;
    private Optional<Semaphore> turn;
    private boolean begun;

    private PartPermit(PartGuard guard, List<String> parts, long admittedNanos, Optional<Semaphore> turn) {
        this.guard = guard;
        this.parts = parts;
        this.admittedNanos = admittedNanos;
        this.turn = turn;
    }

    /**
     * Returns a permit.
     *
     * @param guard learns how the attempt goes
     * @param parts shared parts of the prompt
     * @param admittedNanos monotonic time at which the request was let through
     * @param turn its turn, released at the end, if it has a suspected part
     */
    static PartPermit of(PartGuard guard, List<String> parts, long admittedNanos, Optional<Semaphore> turn) {
        return new PartPermit(guard, parts, admittedNanos, turn);
    }

    /** Returns the shared parts of the prompt. */
    public List<String> parts() {
        return parts;
    }

    /** Records that the answer has begun; further calls have no effect. */
    public void answerBegun() {
        if (!begun) {
            begun = true;
            guard.recordAnswer(parts);
            endTurn();
        }
    }

    /** Returns whether the request holds its turn, since a part of its prompt is suspected or blocked. */
    public boolean isSuspected() {
        return turn.isPresent();
    }

    /** Returns whether the answer has begun. */
    public boolean hasBegun() {
        return begun;
    }

    /** Records that the process with the given name, which no other one has, ended before the answer began. */
    public void processEnded(String process) {
        guard.recordEnd(process, parts, admittedNanos);
    }

    /** Returns whether the request may be sent on another connection to the same process. */
    public boolean maySendAgain() {
        return turn.isPresent() || guard.blockedPart(parts).isEmpty();
    }

    private void endTurn() {
        turn.ifPresent(Semaphore::release);
        turn = Optional.empty();
    }

    @Override
    public void close() {
        endTurn();
    }
}
