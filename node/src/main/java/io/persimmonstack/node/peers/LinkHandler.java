package io.persimmonstack.node.peers;

import io.persimmonstack.node.streams.OriginHandler;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.StreamOrigin;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;

/** Passes the calls of other nodes on to the part of this node that answers them. */
public final class LinkHandler implements NodeLink.Iface {
    private final LeaderHandler leader;
    private final OriginHandler origins;

    private LinkHandler(LeaderHandler leader, OriginHandler origins) {
        this.leader = leader;
        this.origins = origins;
    }

    /**
     * Creates a handler.
     *
     * @param leader answers load reports
     * @param origins keeps and finds origins of streams
     */
    public static LinkHandler of(LeaderHandler leader, OriginHandler origins) {
        return new LinkHandler(leader, origins);
    }

    @Override
    public FleetLoad exchange(NodeLoad load) throws WireRefusal {
        return leader.exchange(load);
    }

    @Override
    public void keepOrigins(List<StreamOrigin> copies) {
        origins.keepOrigins(copies);
    }

    @Override
    public List<StreamOrigin> findOrigin(String request) {
        return origins.findOrigin(request);
    }
}
