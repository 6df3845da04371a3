package io.persimmonstack.node.fleet;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a runner says about its own availability in one answer.
 *
 * @param leaving whether it says that it is shutting down
 * @param quietMs time for which it wants no requests from this node, in milliseconds; empty if it asks for none
 * @param unreadable value of a field that could not be read, which is therefore not part of this notice
 */
public record RunnerNotice(boolean leaving, OptionalLong quietMs, Optional<String> unreadable) {
    private static final RunnerNotice NONE = new RunnerNotice(false, OptionalLong.empty(), Optional.empty());

    /** Returns the notice of an answer that says nothing about the runner. */
    public static RunnerNotice none() {
        return NONE;
    }

    /** Returns a notice without a request for quiet. */
    public static RunnerNotice of(boolean leaving) {
        return leaving ? new RunnerNotice(true, OptionalLong.empty(), Optional.empty()) : NONE;
    }

    /** Returns a notice with a request for quiet. */
    public static RunnerNotice quiet(boolean leaving, long quietMs) {
        return new RunnerNotice(leaving, OptionalLong.of(quietMs), Optional.empty());
    }

    /** Returns a notice whose request for quiet could not be read. */
    public static RunnerNotice unreadable(boolean leaving, String value) {
        return new RunnerNotice(leaving, OptionalLong.empty(), Optional.of(value));
    }
}
