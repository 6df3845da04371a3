package io.persimmonstack.coordinator.gossip;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.coordination.membership.Digest;
import io.persimmonstack.coordination.membership.GossipException;
import io.persimmonstack.coordination.membership.GossipTransport;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.SyncAnswer;
import io.persimmonstack.coordination.membership.Updates;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.RunnerStatus;

/** Sends membership messages to other coordinators over Thrift. */
public final class ThriftGossip implements GossipTransport<NodeAttributes, RunnerStatus> {
    private final ThriftPeers<Coordinator.Client> peers;
    private final int timeoutMs;
    private final Meter messages;
    private final Meter failures;

    private ThriftGossip(ThriftPeers<Coordinator.Client> peers, int timeoutMs, MetricRegistry metrics) {
        this.peers = peers;
        this.timeoutMs = timeoutMs;
        this.messages = metrics.meter("gossip.messages");
        this.failures = metrics.meter("gossip.failures");
    }

    /**
     * Creates the transport.
     *
     * @param peers connections to other coordinators
     * @param timeoutMs timeout of a call; twice as long for an indirect probe, which takes two calls
     * @param metrics registry in which messages and failures are counted
     * @return the transport
     */
    public static ThriftGossip of(ThriftPeers<Coordinator.Client> peers, int timeoutMs, MetricRegistry metrics) {
        return new ThriftGossip(peers, timeoutMs, metrics);
    }

    @Override
    public Updates<NodeAttributes, RunnerStatus> probe(
            String address, Member<NodeAttributes> sender, Updates<NodeAttributes, RunnerStatus> updates)
            throws GossipException {
        io.persimmonstack.wire.gen.Updates answer = call(
                address,
                timeoutMs,
                client -> client.probe(GossipMapping.toWire(sender), GossipMapping.toWire(updates)));
        return GossipMapping.fromWire(answer);
    }

    @Override
    public Updates<NodeAttributes, RunnerStatus> probeVia(
            String address,
            String targetAddress,
            Member<NodeAttributes> sender,
            Updates<NodeAttributes, RunnerStatus> updates)
            throws GossipException {
        io.persimmonstack.wire.gen.Updates answer = call(
                address,
                2 * timeoutMs,
                client -> client.probeVia(GossipMapping.toWire(sender), targetAddress, GossipMapping.toWire(updates)));
        return GossipMapping.fromWire(answer);
    }

    @Override
    public SyncAnswer<NodeAttributes, RunnerStatus> synchronize(
            String address, Member<NodeAttributes> sender, Digest digest) throws GossipException {
        io.persimmonstack.wire.gen.SyncAnswer answer = call(
                address,
                timeoutMs,
                client -> client.synchronize(GossipMapping.toWire(sender), GossipMapping.toWire(digest)));
        return GossipMapping.fromWire(answer);
    }

    @Override
    public void deliver(String address, Member<NodeAttributes> sender, Updates<NodeAttributes, RunnerStatus> updates)
            throws GossipException {
        call(address, timeoutMs, client -> {
            client.deliver(GossipMapping.toWire(sender), GossipMapping.toWire(updates));
            return address;
        });
    }

    private <T> T call(String address, int callTimeoutMs, ThriftPeers.Call<Coordinator.Client, T> call)
            throws GossipException {
        messages.mark();
        try {
            return peers.call(PeerAddress.parse(address), callTimeoutMs, call);
        } catch (WireException e) {
            failures.mark();
            throw new GossipException(e.getMessage(), e);
        }
    }
}
