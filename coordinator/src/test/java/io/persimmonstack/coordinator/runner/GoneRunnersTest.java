package io.persimmonstack.coordinator.runner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.coordination.grant.GrantCodecs;
import io.persimmonstack.coordination.grant.GrantReader;
import io.persimmonstack.coordination.grant.ModelRecord;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.RunnerGrants;
import io.persimmonstack.coordination.grant.SlotEntry;
import io.persimmonstack.coordination.grant.TakeoverEvidence;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.membership.Locality;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.MemberStatus;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordination.membership.MembershipListener;
import io.persimmonstack.coordination.membership.MembershipOptions;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.coordinator.FakePlatform;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.gossip.ThriftGossip;
import io.persimmonstack.coordinator.view.FleetView;
import io.persimmonstack.coordinator.view.Hosts;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.codec.ModelRecordCodec;
import io.persimmonstack.wire.codec.RunnerRecordCodec;
import io.persimmonstack.wire.gen.Coordinator;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The node that looks after runners that are gone, and the runner of a node that may be gone too. */
class GoneRunnersTest {
    private static final String RUNNER = "runner-1";
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final ReplicaCap CAP = ReplicaCap.of(3, 1);
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final String NOTHING_LISTENS = "127.0.0.1:1";
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 500);
    private final NodeIdentity self = NodeIdentity.of("entry-1", 2);
    private final GrantReader records = GrantReader.of(platform.kv, CODECS);
    private final FleetView view = FleetView.of(membership());
    private final RunnerGrants grants = RunnerGrants.create(self, platform.kv, CODECS);
    private final RunnerGrants owner = RunnerGrants.create(NodeIdentity.of("entry-2", 1), platform.kv, CODECS);
    private final Takeover takeover = new Takeover(self, view, peers, TimeSource.system(), 0);
    private final GoneRunners gone = new GoneRunners(grants, records, platform, view, takeover);

    private Membership<NodeAttributes, RunnerStatus> membership() {
        Member<NodeAttributes> member = new Member<>(
                self.node(),
                self.incarnation(),
                1,
                MemberStatus.ALIVE,
                new Locality("z1", "south"),
                NOTHING_LISTENS,
                NodeAttributes.withoutRouter());
        return Membership.of(
                member,
                MembershipOptions.defaults(),
                TimeSource.system(),
                new Random(1),
                ThriftGossip.of(peers, 100, new MetricRegistry()),
                MembershipListener.NONE);
    }

    private void ownedWithSlot(RunnerGrants by, String runner) throws KvException {
        platform.addRunner(runner, "z1", false);
        by.acquire(runner, TakeoverEvidence.handedOver());
        by.grant(runner, MODEL, CAP);
    }

    private void readHosts() throws Exception {
        view.replaceHosts(Hosts.of(platform.clients().hostList().hosts()));
    }

    private List<String> holders() throws KvException {
        return records.model("summary").map(ModelRecord::entries).orElse(List.of()).stream()
                .map(SlotEntry::runner)
                .toList();
    }

    @AfterEach
    void close() {
        peers.close();
    }

    /** Whether the slot is free for others, by what is known of the runner and of its owner. */
    @ParameterizedTest(name = "runner {0}, its engine answers: {1}, owner {2}, handed over: {3} -> given back: {4}")
    @CsvSource({
        "GONE, false, GONE, false, true",
        "GONE, false, LIVE, false, false",
        "GONE, false, LEAVING, false, false",
        "GONE, false, LIVE, true, true",
        "GONE, true, GONE, false, false",
        "GONE, true, GONE, true, false",
        "LIVE, false, GONE, false, false",
        "LEAVING, false, GONE, false, false",
    })
    void slotIsGivenBackOnlyOnceRunnerAndOwnerAreHarmless(
            HostState runner, boolean answers, HostState ownersHost, boolean handedOver, boolean givenBack)
            throws Exception {
        ownedWithSlot(owner, RUNNER);
        platform.addEntryHost("entry-2", NOTHING_LISTENS, "z1");
        if (handedOver) {
            owner.handOver(RUNNER);
        }
        if (!answers) {
            platform.terminateHost(RUNNER);
        }
        platform.setState(RUNNER, runner);
        platform.setState("entry-2", ownersHost);
        readHosts();
        gone.round(Set.of());
        assertEquals(givenBack ? List.of() : List.of(RUNNER), holders());
    }

    @Test
    void slotsOfAnEarlierProcessOfThisNodeAreGivenBack() throws Exception {
        ownedWithSlot(RunnerGrants.create(NodeIdentity.of("entry-1", 1), platform.kv, CODECS), RUNNER);
        platform.terminateHost(RUNNER);
        readHosts();
        assertTrue(gone.round(Set.of()));
        assertEquals(List.of(), holders());
    }

    @Test
    void eachRoundLooksAfterOneRunnerAndTheScanStartsAgain() throws Exception {
        for (String runner : List.of("runner-1", "runner-2", "runner-3")) {
            ownedWithSlot(owner, runner);
            platform.terminateHost(runner);
        }
        platform.addEntryHost("entry-2", NOTHING_LISTENS, "z1");
        readHosts();
        assertTrue(gone.round(Set.of()));
        assertEquals(List.of("runner-1", "runner-2", "runner-3"), holders(), "the owner is not known to be gone");
        platform.setState("entry-2", HostState.GONE);
        readHosts();
        assertTrue(gone.round(Set.of()));
        assertEquals(List.of("runner-1", "runner-3"), holders());
        assertTrue(gone.round(Set.of()));
        assertFalse(gone.round(Set.of()));
        assertTrue(gone.round(Set.of()));
        assertEquals(List.of(), holders());
    }

    @Test
    void runnerWithAnAgentHereIsLeftToIt() throws Exception {
        ownedWithSlot(grants, RUNNER);
        platform.terminateHost(RUNNER);
        readHosts();
        assertFalse(gone.round(Set.of(RUNNER)));
        assertEquals(List.of(RUNNER), holders());
    }

    @Test
    void failedWriteLeavesTheSlotToTheNextScan() throws Exception {
        ownedWithSlot(RunnerGrants.create(NodeIdentity.of("entry-1", 1), platform.kv, CODECS), RUNNER);
        platform.terminateHost(RUNNER);
        readHosts();
        platform.kv.unavailable(true);
        assertFalse(gone.round(Set.of()));
        platform.kv.unavailable(false);
        gone.round(Set.of());
        assertEquals(List.of(), holders());
    }
}
