package io.persimmonstack.node.placing;

import java.util.concurrent.TimeUnit;

/**
 * Claim of one node to scarce room in the cache of one runner. It is reported to the leader like a request in progress,
 * before the request is sent. Once the leader has answered, this node knows all claims that the leader heard of before,
 * and the others learn of this one; so of two nodes that claim the same room, at most one uses it. Not thread-safe.
 */
final class MemoryClaim {
    /** Age from which on a claim is given up: its request has gone elsewhere, or no leader answers. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private State state = State.NONE;
    private long tokens;
    private long madeNanos;

    private enum State {
        NONE,
        MADE,
        REPORTED,
        CONFIRMED
    }

    /** Claims room, unless there is a claim already. */
    void make(long expectedTokens, long nowNanos) {
        if (state == State.NONE) {
            state = State.MADE;
            tokens = expectedTokens;
            madeNanos = nowNanos;
        }
    }

    /** Returns the tokens to report to the leader, 0 for no claim. */
    long report(long nowNanos) {
        if (!isOpen(nowNanos)) {
            return 0;
        }
        if (state == State.MADE) {
            state = State.REPORTED;
        }
        return tokens;
    }

    /** Returns whether there is a claim; one that is too old is ended. */
    boolean isOpen(long nowNanos) {
        if (state != State.NONE && nowNanos - madeNanos > MAX_AGE_NANOS) {
            withdraw();
        }
        return state != State.NONE;
    }

    /** Records that the leader has answered the last report. */
    void answered() {
        if (state == State.REPORTED) {
            state = State.CONFIRMED;
        }
    }

    /** Returns whether the leader has answered a claim of at least the given size. */
    boolean isConfirmed(long expectedTokens) {
        return state == State.CONFIRMED && tokens >= expectedTokens;
    }

    /** Ends the claim, because its request was sent or does not fit. */
    void withdraw() {
        state = State.NONE;
    }
}
