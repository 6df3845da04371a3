package io.persimmonstack.coordination.grant;

/** Evidence that the previous owner of a runner can no longer change its engine. A free runner needs no evidence. */
public sealed interface TakeoverEvidence {
    /** The engine refuses orders that carry an old fencing token. */
    record FencedEngine() implements TakeoverEvidence {}

    /** The predecessor has handed the runner over; checked against the flag in the runner record. */
    record HandedOver() implements TakeoverEvidence {}

    /**
     * The predecessor's process has ended and none of its orders can still reach the engine: the host list reports its
     * host as gone and its connections were reset, or the next incarnation on its host has bound its listening port.
     *
     * @param predecessor the process that has ended; must be the recorded owner
     */
    record PredecessorGone(NodeIdentity predecessor) implements TakeoverEvidence {}

    /** Returns the evidence that the engine refuses old fencing tokens. */
    static TakeoverEvidence fencedEngine() {
        return new FencedEngine();
    }

    /** Returns the evidence that the runner is free or was handed over. */
    static TakeoverEvidence handedOver() {
        return new HandedOver();
    }

    /** Returns the evidence that the given process, the recorded owner, has ended. */
    static TakeoverEvidence predecessorGone(NodeIdentity predecessor) {
        return new PredecessorGone(predecessor);
    }
}
