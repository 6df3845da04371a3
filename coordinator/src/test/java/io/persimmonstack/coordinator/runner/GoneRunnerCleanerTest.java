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
import io.persimmonstack.coordinator.view.HostListSnapshot;
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

/** Clearing the slots of runners that are gone, depending on whether their owners are gone too. */
class GoneRunnerCleanerTest {
    private static final String RUNNER = "runner-1";
    private static final ModelVersion MODEL = ModelVersion.of("summary", "v1");
    private static final ReplicaCap CAP = ReplicaCap.of(3, 1);
    private static final GrantCodecs CODECS = new GrantCodecs(ModelRecordCodec.create(), RunnerRecordCodec.create());
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
    private final FakePlatform platform = new FakePlatform();
    private final ThriftPeers<Coordinator.Client> peers = ThriftPeers.of(new Coordinator.Client.Factory(), 500);
    private final NodeIdentity self = NodeIdentity.of("entry-1", 2);
    private final GrantReader grantReader = GrantReader.of(platform.kv, CODECS);
    private final FleetView view = FleetView.of(membership());
    private final RunnerGrants grants = RunnerGrants.create(self, platform.kv, CODECS);
    private final RunnerGrants ownerGrants = RunnerGrants.create(NodeIdentity.of("entry-2", 1), platform.kv, CODECS);
    private final TakeoverEvidenceFinder evidenceFinder =
            new TakeoverEvidenceFinder(self, view, peers, TimeSource.system(), 0);
    private final GoneRunnerCleaner cleaner =
            new GoneRunnerCleaner(grants, grantReader, platform, view, evidenceFinder);

    private Membership<NodeAttributes, RunnerStatus> membership() {
        Member<NodeAttributes> member = new Member<>(
                self.node(),
                self.incarnation(),
                1,
                MemberStatus.ALIVE,
                new Locality("z1", "south"),
                UNREACHABLE_ADDRESS,
                NodeAttributes.withoutRouter());
        return Membership.of(
                member,
                MembershipOptions.defaults(),
                TimeSource.system(),
                new Random(1),
                ThriftGossip.of(peers, 100, new MetricRegistry()),
                MembershipListener.NONE);
    }

    private void acquireWithSlot(RunnerGrants acquirer, String runner) throws KvException {
        platform.addRunner(runner, "z1", false);
        acquirer.acquire(runner, TakeoverEvidence.handedOver());
        acquirer.grant(runner, MODEL, CAP);
    }

    private void refreshHosts() throws Exception {
        view.replaceHosts(HostListSnapshot.of(platform.clients().hostList().hosts()));
    }

    private List<String> slotHolders() throws KvException {
        return grantReader.model("summary").map(ModelRecord::entries).orElse(List.of()).stream()
                .map(SlotEntry::runner)
                .toList();
    }

    @AfterEach
    void close() {
        peers.close();
    }

    /** Whether the slot is given back, for each state of the runner's host, of its engine and of its owner. */
    @ParameterizedTest(name = "runner {0}, engine answers: {1}, owner {2}, handed over: {3} -> given back: {4}")
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
    void slotIsGivenBackOnlyWhenNeitherRunnerNorOwnerCanAct(
            HostState runner, boolean engineAnswers, HostState ownerHost, boolean handedOver, boolean givenBack)
            throws Exception {
        acquireWithSlot(ownerGrants, RUNNER);
        platform.addEntryHost("entry-2", UNREACHABLE_ADDRESS, "z1");
        if (handedOver) {
            ownerGrants.handOver(RUNNER);
        }
        if (!engineAnswers) {
            platform.terminateHost(RUNNER);
        }
        platform.setState(RUNNER, runner);
        platform.setState("entry-2", ownerHost);
        refreshHosts();
        cleaner.clearNext(Set.of());
        assertEquals(givenBack ? List.of() : List.of(RUNNER), slotHolders());
    }

    @Test
    void slotsOfAnEarlierProcessOfThisNodeAreGivenBack() throws Exception {
        acquireWithSlot(RunnerGrants.create(NodeIdentity.of("entry-1", 1), platform.kv, CODECS), RUNNER);
        platform.terminateHost(RUNNER);
        refreshHosts();
        assertTrue(cleaner.clearNext(Set.of()));
        assertEquals(List.of(), slotHolders());
    }

    @Test
    void eachCallHandlesOneRunnerAndTheScanStartsOver() throws Exception {
        for (String runner : List.of("runner-1", "runner-2", "runner-3")) {
            acquireWithSlot(ownerGrants, runner);
            platform.terminateHost(runner);
        }
        platform.addEntryHost("entry-2", UNREACHABLE_ADDRESS, "z1");
        refreshHosts();
        assertTrue(cleaner.clearNext(Set.of()));
        assertEquals(
                List.of("runner-1", "runner-2", "runner-3"),
                slotHolders(),
                "the host list does not report the owner as gone");
        platform.setState("entry-2", HostState.GONE);
        refreshHosts();
        assertTrue(cleaner.clearNext(Set.of()));
        assertEquals(List.of("runner-1", "runner-3"), slotHolders());
        assertTrue(cleaner.clearNext(Set.of()));
        assertFalse(cleaner.clearNext(Set.of()));
        assertTrue(cleaner.clearNext(Set.of()));
        assertEquals(List.of(), slotHolders());
    }

    @Test
    void runnerOwnedByThisNodeIsSkipped() throws Exception {
        acquireWithSlot(grants, RUNNER);
        platform.terminateHost(RUNNER);
        refreshHosts();
        assertFalse(cleaner.clearNext(Set.of(RUNNER)));
        assertEquals(List.of(RUNNER), slotHolders());
    }

    @Test
    void failedCallLeavesTheSlotToTheNextScan() throws Exception {
        acquireWithSlot(RunnerGrants.create(NodeIdentity.of("entry-1", 1), platform.kv, CODECS), RUNNER);
        platform.terminateHost(RUNNER);
        refreshHosts();
        platform.kv.unavailable(true);
        assertFalse(cleaner.clearNext(Set.of()));
        platform.kv.unavailable(false);
        cleaner.clearNext(Set.of());
        assertEquals(List.of(), slotHolders());
    }
}
