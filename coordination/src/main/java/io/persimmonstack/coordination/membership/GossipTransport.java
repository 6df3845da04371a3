package io.persimmonstack.coordination.membership;

/**
 * Sends gossip messages to other members. Calls block until the answer arrives or the transport's timeout expires.
 *
 * @param <A> type of the member attributes
 * @param <R> type of the runner states
 */
public interface GossipTransport<A, R> {
    /**
     * Probes a member directly.
     *
     * @param address address of the member to probe
     * @param sender entry of the sender
     * @param updates updates to piggyback on the probe
     * @return updates piggybacked on the answer
     * @throws GossipException if no answer arrived in time
     */
    Updates<A, R> probe(String address, Member<A> sender, Updates<A, R> updates) throws GossipException;

    /**
     * Asks one member to probe another.
     *
     * @param address address of the intermediary
     * @param targetAddress address of the member to probe
     * @param sender entry of the sender
     * @param updates updates to piggyback on the message to the intermediary
     * @return updates from the probed member
     * @throws GossipException if no answer arrived in time
     */
    Updates<A, R> probeVia(String address, String targetAddress, Member<A> sender, Updates<A, R> updates)
            throws GossipException;

    /**
     * Sends a digest to a member for anti-entropy.
     *
     * @param address address of the member
     * @param sender entry of the sender
     * @param digest versions of the sender's entries
     * @return the member's newer entries, and the names of those that are older than the sender's
     * @throws GossipException if no answer arrived in time
     */
    SyncAnswer<A, R> synchronize(String address, Member<A> sender, Digest digest) throws GossipException;

    /**
     * Sends updates that need no answer.
     *
     * @param address address of the receiving member
     * @param sender entry of the sender
     * @param updates updates to send
     * @throws GossipException if the member did not confirm the delivery
     */
    void deliver(String address, Member<A> sender, Updates<A, R> updates) throws GossipException;
}
