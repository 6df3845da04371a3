package io.persimmonstack.coordinator.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.grant.GrantCodecs;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.membership.MembershipListener;
import io.persimmonstack.coordination.membership.MembershipOptions;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.policy.KeepAlivePolicy;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.FakePlatform;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.runner.RunnerAgentContext;
import io.persimmonstack.coordinator.runner.Runners;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.WeightCatalogueCache;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.ModelUse;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Batches of reported uses and of demand statistics, of which one entry has a malformed model name. */
class ReportedUseTest {
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final LoadKey KEY = new LoadKey(ModelVersion.of("summary", "v1"), Optional.empty());
    private static final String MALFORMED = "no version";
    private static final int HOPS_ROUTER = 0;
    private static final int HOPS_COORDINATOR = 1;

    private final TimeSource time = TimeSource.system();
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 100);
    private final DemandTracker demandTracker = newTracker();
    private final FleetView view = FleetView.of(Membership.of(
            new Member<>(
                    "entry-1",
                    1,
                    1,
                    MemberStatus.ALIVE,
                    new Locality("z1", "south"),
                    "127.0.0.1:1",
                    NodeAttributes.withoutRouter()),
            MembershipOptions.defaults(),
            time,
            new Random(1),
            ThriftGossip.of(peers, 100, new MetricRegistry()),
            MembershipListener.NONE));

    private static DemandTracker newTracker() {
        return DemandTracker.of(KeepAlivePolicy.adaptive(), FleetConfiguration::empty, 0);
    }

    @AfterEach
    void close() {
        peers.close();
    }

    private UseReportForwarder forwarder() {
        NodeIdentity self = NodeIdentity.of("entry-1", 1);
        WeightCatalogueCache catalogueCache =
                WeightCatalogueCache.of(platform.clients().weightStore());
        RunnerAgentContext context = new RunnerAgentContext(
                self,
                RunnerGrants.create(self, platform.kv, CODECS),
                platform,
                model -> ReplicaCap.of(1, 1),
                demandTracker,
                StorePermits.of(view, catalogueCache, peers, time),
                LoadHistory.create(),
                time,
                (RunnerStatus status) -> {},
                100);
        Runners runners = Runners.of(context, GrantReader.of(platform.kv, CODECS), view, peers, 0);
        return UseReportForwarder.of(view, runners, demandTracker, peers, time);
    }

    private static ModelUse use(String model) {
        return new ModelUse(model, "runner-1", 1, 0);
    }

    @Test
    void usesAfterAMalformedOneInAReportOfARouterCount() {
        forwarder().report(List.of(use(MALFORMED), use(KEY.model().toString())), HOPS_ROUTER);
        assertEquals(Set.of(KEY), demandTracker.observedKeys());
    }

    @Test
    void usesAfterAMalformedOneInAForwardedReportCount() {
        forwarder().report(List.of(use(MALFORMED), use(KEY.model().toString())), HOPS_COORDINATOR);
        assertEquals(Set.of(KEY), demandTracker.observedKeys());
    }

    @Test
    void statisticsAfterAMalformedEntryAreAdopted() {
        DemandTracker sender = newTracker();
        sender.observe(KEY, 1_000);
        ModelUse malformed = use(MALFORMED);
        malformed.setStatistics(sender.statistics(KEY).orElseThrow());
        ModelUse wellFormed = use(KEY.model().toString());
        wellFormed.setStatistics(sender.statistics(KEY).orElseThrow());
        DemandStatisticsReplicator.of(view, demandTracker, peers, time).adopt(List.of(malformed, wellFormed));
        assertEquals(Set.of(KEY), demandTracker.observedKeys());
    }
}
