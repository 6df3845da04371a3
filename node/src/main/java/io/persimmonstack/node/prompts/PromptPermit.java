package io.persimmonstack.node.prompts;

import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.request.CallerRequest;
import java.util.Optional;
import java.util.concurrent.Semaphore;

/**
 * Permission to send a request to a runner once, which learns how that goes. The turn of a suspected request ends when
 * its answer begins or the permit is closed. Not thread-safe.
 */
public final class PromptPermit implements AutoCloseable {
    private final PromptGuard guard;
    private final CallerRequest request;
    private final long admittedNanos;
    private Optional<Semaphore> turn;
    private boolean begun;

    private PromptPermit(PromptGuard guard, CallerRequest request, long admittedNanos, Optional<Semaphore> turn) {
        this.guard = guard;
        this.request = request;
        this.admittedNanos = admittedNanos;
        this.turn = turn;
    }

    /**
     * Returns the permit of a request.
     *
     * @param guard learns how the attempt goes
     * @param request request to send
     * @param admittedNanos monotonic time at which it was let through
     * @param turn its turn, released at the end, if it has a suspected part
     */
    static PromptPermit of(PromptGuard guard, CallerRequest request, long admittedNanos, Optional<Semaphore> turn) {
        return new PromptPermit(guard, request, admittedNanos, turn);
    }

    /** Records that the answer has begun; further calls have no effect. */
    public void answerBegun() {
        if (!begun) {
            begun = true;
            guard.recordAnswer(request);
            endTurn();
        }
    }

    /** Returns whether the answer has begun. */
    public boolean hasBegun() {
        return begun;
    }

    /** Records that the runner process ended before the answer began. */
    public void runnerEnded(RunnerProcess process) {
        guard.recordEnd(process, request, admittedNanos);
    }

    /** Returns whether the request may be sent on another connection to the same runner. */
    public boolean maySendAgain() {
        return turn.isPresent() || guard.refusal(request).isEmpty();
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
