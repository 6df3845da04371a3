package io.persimmonstack.coordination.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RunnerGrantsTest {
    private static final ModelVersion SLOT = ModelVersion.of("summary", "v1");
    private static final ReplicaCap CAP_OF_ONE = ReplicaCap.of(1, 1);
    private static final NodeIdentity FIRST = NodeIdentity.of("first", 1);

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final GrantCodecs codecs = new GrantCodecs(new FakeCodec<>(), new FakeCodec<>());
    private final RunnerGrants first = RunnerGrants.create(FIRST, store, codecs);
    private final RunnerGrants second = RunnerGrants.create(NodeIdentity.of("second", 1), store, codecs);

    @Test
    void slotIsGrantedUpToTheCapAndGivenBack() throws KvException {
        acquire(first, "runner-1");
        acquire(second, "runner-2");
        assertInstanceOf(GrantResult.Granted.class, first.grant("runner-1", SLOT, CAP_OF_ONE));
        assertInstanceOf(GrantResult.CapReached.class, second.grant("runner-2", SLOT, CAP_OF_ONE));
        assertInstanceOf(GiveBackResult.GivenBack.class, first.giveBack("runner-1", SLOT));
        assertInstanceOf(GrantResult.Granted.class, second.grant("runner-2", SLOT, CAP_OF_ONE));
        assertEquals(Set.of(), first.owned("runner-1").orElseThrow().slots());
        assertEquals(Set.of(SLOT), second.owned("runner-2").orElseThrow().slots());
    }

    @Test
    void ownedRunnerIsTakenOverOnlyWithEvidence() throws KvException {
        acquire(first, "runner-1");
        TakeoverEvidence otherGone = TakeoverEvidence.predecessorGone(NodeIdentity.of("first", 0));
        assertInstanceOf(AcquireResult.Refused.class, second.acquire("runner-1", TakeoverEvidence.handedOver()));
        assertInstanceOf(AcquireResult.Refused.class, second.acquire("runner-1", otherGone));
        AcquireResult.Acquired taken = assertInstanceOf(
                AcquireResult.Acquired.class, second.acquire("runner-1", TakeoverEvidence.predecessorGone(FIRST)));
        assertEquals(2, taken.runner().epoch());
        assertInstanceOf(GrantResult.NotOwner.class, first.grant("runner-1", SLOT, CAP_OF_ONE));
        assertTrue(first.owned().isEmpty());
    }

    @Test
    void fencingEngineMustBeFencedBeforeSlotsAreGranted() throws KvException {
        acquire(first, "runner-1");
        second.acquire("runner-1", TakeoverEvidence.fencedEngine());
        assertInstanceOf(GrantResult.NotOwner.class, second.grant("runner-1", SLOT, CAP_OF_ONE));
        second.confirmFenced("runner-1");
        assertInstanceOf(GrantResult.Granted.class, second.grant("runner-1", SLOT, CAP_OF_ONE));
    }

    @Test
    void takeoverAfterLostReplyStillRequiresFencing() throws KvException {
        FaultyKvStore thirdStore = new FaultyKvStore(store);
        RunnerGrants third = RunnerGrants.create(NodeIdentity.of("third", 1), thirdStore, codecs);
        acquire(first, "runner-1");
        thirdStore.failAfter(0, FaultyKvStore.Fault.REPLY_LOST);
        assertThrows(KvException.class, () -> third.acquire("runner-1", TakeoverEvidence.fencedEngine()));
        thirdStore.heal();
        acquire(third, "runner-1");
        assertFalse(third.owned("runner-1").orElseThrow().mayOrder());
        third.confirmFenced("runner-1");
        assertTrue(third.owned("runner-1").orElseThrow().mayOrder());
    }

    @Test
    void refencedRunnerAwaitsFencingAndKeepsItsSlots() throws KvException {
        acquire(first, "runner-1");
        first.grant("runner-1", SLOT, CAP_OF_ONE);
        long epoch = first.owned("runner-1").orElseThrow().epoch();
        assertInstanceOf(AcquireResult.Acquired.class, first.refence("runner-1"));
        OwnedRunner raised = first.owned("runner-1").orElseThrow();
        assertEquals(epoch + 1, raised.epoch());
        assertFalse(raised.mayOrder());
        assertTrue(first.confirmFenced("runner-1").orElseThrow().mayOrder());
        assertEquals(Set.of(SLOT), first.owned("runner-1").orElseThrow().slots());
    }

    @Test
    void runnerKeepsItsSlotsAcrossHandOver() throws KvException {
        acquire(first, "runner-1");
        first.grant("runner-1", SLOT, CAP_OF_ONE);
        assertInstanceOf(HandOverResult.HandedOver.class, first.handOver("runner-1"));
        acquire(second, "runner-1");
        assertEquals(Set.of(SLOT), second.owned("runner-1").orElseThrow().slots());
        assertInstanceOf(GiveBackResult.GivenBack.class, second.giveBack("runner-1", SLOT));
    }

    @Test
    void grantUnderAnOlderConfigurationIsRefused() throws KvException {
        acquire(first, "runner-1");
        acquire(second, "runner-2");
        first.grant("runner-1", SLOT, ReplicaCap.of(2, 1));
        first.reconcile(model -> ReplicaCap.of(1, 2));
        assertInstanceOf(GrantResult.StaleConfiguration.class, second.grant("runner-2", SLOT, ReplicaCap.of(2, 1)));
    }

    @Test
    void grantUnderATemporarilyRaisedCapIsRefused() throws KvException {
        CapHistory caps = CapHistory.create();
        caps.apply(1, Map.of("summary", 1));
        acquire(first, "runner-1");
        acquire(second, "runner-2");
        first.grant("runner-1", SLOT, caps.cap("summary"));
        caps.apply(2, Map.of("summary", 2));
        ReplicaCap raised = caps.cap("summary");
        caps.apply(3, Map.of("summary", 1));
        first.reconcile(caps);
        assertInstanceOf(GrantResult.StaleConfiguration.class, second.grant("runner-2", SLOT, raised));
    }

    @Test
    void reconcileDoesNotWriteAnUnchangedCap() throws KvException {
        CapHistory caps = CapHistory.create();
        caps.apply(1, Map.of("summary", 1));
        acquire(first, "runner-1");
        first.grant("runner-1", SLOT, caps.cap("summary"));
        caps.apply(2, Map.of("summary", 1, "dispute", 1));
        long before = store.writes();
        first.reconcile(caps);
        assertEquals(before, store.writes());
    }

    @Test
    void loweredCapMakesTheNewestSlotSurplus() throws KvException {
        acquire(first, "runner-1");
        acquire(second, "runner-2");
        first.grant("runner-1", SLOT, ReplicaCap.of(2, 1));
        second.grant("runner-2", SLOT, ReplicaCap.of(2, 1));
        ReplicaCaps lowered = model -> ReplicaCap.of(1, 2);
        assertEquals(List.of(), first.reconcile(lowered).get("runner-1").surplus());
        assertEquals(List.of(SLOT), second.reconcile(lowered).get("runner-2").surplus());
    }

    private static void acquire(RunnerGrants grants, String runner) throws KvException {
        assertInstanceOf(AcquireResult.Acquired.class, grants.acquire(runner, TakeoverEvidence.handedOver()));
    }
}
