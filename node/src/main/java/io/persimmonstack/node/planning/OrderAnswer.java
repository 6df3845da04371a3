package io.persimmonstack.node.planning;

/** Answer of a runner to an order, or its absence. */
public enum OrderAnswer {
    /** The runner carries out the order. */
    ACCEPTED,
    /**
     * The runner is in the ordered state: an unused adapter was unloaded at once, or nothing was to be done, in which
     * case the order does not count as accepted.
     */
    ALREADY,
    /** Another order is in progress, or the runner has accepted orders that the sender does not know of. */
    CONFLICT,
    /** The runner has seen an order of a later term. */
    FENCED,
    /** The address or the identifier belongs to another process. */
    MISDIRECTED,
    /** The runner does not understand the order. */
    INVALID,
    /** The order was not sent, since the runner wants nothing from this node for a while. */
    WITHHELD,
    /** No usable answer came; the order may or may not be carried out, now or later. */
    UNKNOWN
}
