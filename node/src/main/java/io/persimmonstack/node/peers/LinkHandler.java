package io.persimmonstack.node.peers;

import io.persimmonstack.node.streams.OriginHandler;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.FleetLoad;
import io.persimmonstack.wire.gen.NodeLink;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.StreamOrigin;
import io.persimmonstack.wire.gen.TokenGrant;
import io.persimmonstack.wire.gen.TokenRequest;
import io.persimmonstack.wire.gen.WireRefusal;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/** Passes the calls of other nodes on to the part of this node that answers them. */
public final class LinkHandler implements NodeLink.Iface {
    private final LeaderHandler leader;
    private final OriginHandler origins;
    private final Consumer<List<CrashReportRecord>> crashReports;
    private final Function<TokenRequest, TokenGrant> tokens;

    private LinkHandler(
            LeaderHandler leader,
            OriginHandler origins,
            Consumer<List<CrashReportRecord>> crashReports,
            Function<TokenRequest, TokenGrant> tokens) {
        this.leader = leader;
        this.origins = origins;
        this.crashReports = crashReports;
        this.tokens = tokens;
    }

    /**
     * Creates a handler.
     *
     * @param leader answers load reports
     * @param origins keeps and finds origins of streams
     * @param crashReports takes reports about runners that ended
     * @param tokens grants tokens of usage caps
     */
    public static LinkHandler of(
            LeaderHandler leader,
            OriginHandler origins,
            Consumer<List<CrashReportRecord>> crashReports,
            Function<TokenRequest, TokenGrant> tokens) {
        return new LinkHandler(leader, origins, crashReports, tokens);
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

    @Override
    public void keepCrashReports(List<CrashReportRecord> reports) {
        crashReports.accept(reports);
    }

    @Override
    public TokenGrant takeTokens(TokenRequest request) {
        return tokens.apply(request);
    }
}
