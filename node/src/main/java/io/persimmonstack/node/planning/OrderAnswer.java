package io.persimmonstack.node.planning;

/** Answer of a runner to an order. */
public enum OrderAnswer {
    /** It carries the order out. */
    ACCEPTED,
    /** What was ordered holds already. */
    ALREADY,
    /** Another order is in progress, or it has taken orders that the sender does not know of. */
    CONFLICT,
    /** It has seen an order of a later term. */
    FENCED,
    /** Another process has the address or the identifier. */
    MISDIRECTED,
    /** It does not know the order. */
    INVALID,
    /** No answer came; the order may be carried out, now or later. */
    UNKNOWN
}
