package io.persimmonstack.node.peers;

import io.persimmonstack.coordination.cap.ClockReading;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLoad;

/** Part of a node that sends its own data with the load reports and their answers. */
public interface LoadExtension {
    /** Extension that sends nothing. */
    LoadExtension NONE = new LoadExtension() {};

    /** Returns whether the node lacks something that the next answer may bring, so that it reports more often. */
    default boolean needsAnswer() {
        return false;
    }

    /**
     * Adds to a report of this node.
     *
     * @param load report
     * @param sent moment just before the report is sent
     */
    default void prepareReport(NodeLoad load, ClockReading sent) {}

    /**
     * Takes the leader's answer.
     *
     * @param answer answer to the last report
     * @param sent moment just before that report was sent
     */
    default void applyAnswer(FleetLoad answer, ClockReading sent) {}

    /**
     * Takes a report while this node leads, and adds to its answer.
     *
     * @param term term of the leadership
     * @param load report of any node
     * @param answer answer to it
     */
    default void exchange(long term, NodeLoad load, FleetLoad answer) {}
}
